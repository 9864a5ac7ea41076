package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationHead;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The chain of a simulated table service, with the instant at which each version was accepted. */
final class SimulatedStore {

  private final List<ConfigurationRecord> chain = new ArrayList<>();
  private final List<Long> acceptedNanos = new ArrayList<>();

  boolean commit(ConfigurationRecord record, long headRowVersion, long nowNanos) {
    if (headRowVersion != chain.size()) {
      return false;
    }
    chain.add(record);
    acceptedNanos.add(nowNanos);
    return true;
  }

  Optional<ConfigurationHead> readHead() {
    return chain.isEmpty()
        ? Optional.empty()
        : Optional.of(new ConfigurationHead(chain.get(chain.size() - 1), chain.size()));
  }

  Optional<ConfigurationRecord> readVersion(long version) {
    return chain.stream().filter(r -> r.version() == version).findFirst();
  }

  int getLength() {
    return chain.size();
  }

  /** Gets the place of a record in the order of acceptance, or -1 if it was never accepted. */
  int indexOf(ConfigurationRecord record) {
    return chain.indexOf(record);
  }

  boolean hasAttempt(String attempt) {
    return chain.stream().anyMatch(r -> r.attempt().equals(attempt));
  }

  /** Gets the place of the last version that was accepted by an instant, or -1. */
  int findLastAcceptedBy(long nanos) {
    int last = -1;
    for (int i = 0; i < chain.size() && acceptedNanos.get(i) <= nanos; i++) {
      last = i;
    }
    return last;
  }
}
