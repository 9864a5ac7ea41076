package io.fireflyshed.transport.peer;

import io.fireflyshed.coordination.placement.FleetLoad;
import io.fireflyshed.coordination.placement.LoadReport;
import io.fireflyshed.protocol.poison.CrashReport;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.table.TableChanges;
import io.fireflyshed.state.table.TableQuestion;
import io.fireflyshed.transport.forward.RelayOffer;
import io.fireflyshed.transport.forward.RelayedRequest;
import io.fireflyshed.transport.forward.ResponsePart;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import reactor.core.publisher.Flux;

/**
 * Holds what an entry does for other entries. None of the functions may block.
 *
 * @param admission returns the retry delay of an offer that can't be placed now, empty if it can,
 *     not null
 * @param forwarder forwards a request of another entry to targets, not null; it fails with a {@link
 *     io.fireflyshed.transport.forward.ForwardException}
 * @param tables reads a table for another entry, not null
 * @param loads takes the load of another entry and returns that of all, not null
 * @param crashes takes a crash report of another entry to write it, not null
 */
public record EntryServices(
    Function<RelayOffer, Optional<Duration>> admission,
    Function<RelayedRequest, Flux<ResponsePart>> forwarder,
    Function<TableQuestion, CompletableFuture<TableChanges>> tables,
    Function<LoadReport, CompletableFuture<FleetLoad>> loads,
    Consumer<CrashReport> crashes) {

  /** Validates the components. */
  public EntryServices {
    Objects.requireNonNull(admission, "admission");
    Objects.requireNonNull(forwarder, "forwarder");
    Objects.requireNonNull(tables, "tables");
    Objects.requireNonNull(loads, "loads");
    Objects.requireNonNull(crashes, "crashes");
  }

  /**
   * Creates the services of an entry that only forwards requests for others.
   *
   * @param admission returns the retry delay of an offer that can't be placed now, empty if it can,
   *     not null
   * @param forwarder forwards a request of another entry to targets, not null
   * @return the services, never null
   */
  public static EntryServices ofRelay(
      Function<RelayOffer, Optional<Duration>> admission,
      Function<RelayedRequest, Flux<ResponsePart>> forwarder) {
    return new EntryServices(
        admission,
        forwarder,
        question ->
            CompletableFuture.failedFuture(
                new NoEffectException("read-table", "entry", "no tables are read", null)),
        report -> CompletableFuture.completedFuture(FleetLoad.NONE),
        report -> {});
  }
}
