package io.fireflyshed.coordination.configuration;

import io.fireflyshed.state.configuration.ConfigurationHead;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The configuration history of a simulated table service, with the time at which each version was
 * accepted.
 */
final class SimulatedStore {

  private final List<ConfigurationRecord> history = new ArrayList<>();
  private final List<Long> acceptedNanos = new ArrayList<>();

  boolean commit(ConfigurationRecord record, long headRowVersion, long nowNanos) {
    if (headRowVersion != history.size()) {
      return false;
    }
    history.add(record);
    acceptedNanos.add(nowNanos);
    return true;
  }

  Optional<ConfigurationHead> readHead() {
    return history.isEmpty()
        ? Optional.empty()
        : Optional.of(new ConfigurationHead(history.get(history.size() - 1), history.size()));
  }

  Optional<ConfigurationRecord> readVersion(long version) {
    return history.stream().filter(r -> r.version() == version).findFirst();
  }

  int getLength() {
    return history.size();
  }

  /** Returns the index of a record in the order of acceptance, or -1 if it was never accepted. */
  int indexOf(ConfigurationRecord record) {
    return history.indexOf(record);
  }

  boolean hasAttempt(String attempt) {
    return history.stream().anyMatch(r -> r.attempt().equals(attempt));
  }

  /**
   * Returns the index of the last version accepted no later than a time, or -1 if there is none.
   */
  int findLastAcceptedBy(long timeNanos) {
    int last = -1;
    for (int i = 0; i < history.size() && acceptedNanos.get(i) <= timeNanos; i++) {
      last = i;
    }
    return last;
  }
}
