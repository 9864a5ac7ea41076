package io.fireflyshed.transport.poison;

import io.fireflyshed.coordination.directory.ReaderSelector;
import io.fireflyshed.protocol.poison.CrashReport;
import io.fireflyshed.state.clock.MonotonicClock;
import io.fireflyshed.state.peer.EntryPeer;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/**
 * Has crash reports written by the entry of the availability zone that the selector selects. Used
 * on the control thread only.
 */
public final class RemoteReportWriter implements ReportWriter {

  private final BiFunction<EntryPeer, CrashReport, CompletableFuture<Void>> sender;
  private final Supplier<List<EntryPeer>> entries;
  private final ReaderSelector selector;
  private final ScheduledExecutorService control;
  private final MonotonicClock clock;

  /**
   * Creates a writer.
   *
   * @param sender sends a report to an entry and completes once the entry has taken it, not null
   * @param entries lists the known entries of all availability zones, not null
   * @param selector selects the entry that writes, not null
   * @param control the executor of the control thread, not null
   * @param clock the monotonic clock of this process, not null
   */
  public RemoteReportWriter(
      BiFunction<EntryPeer, CrashReport, CompletableFuture<Void>> sender,
      Supplier<List<EntryPeer>> entries,
      ReaderSelector selector,
      ScheduledExecutorService control,
      MonotonicClock clock) {
    this.sender = Objects.requireNonNull(sender, "sender");
    this.entries = Objects.requireNonNull(entries, "entries");
    this.selector = Objects.requireNonNull(selector, "selector");
    this.control = Objects.requireNonNull(control, "control");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  @Override
  public Optional<CompletableFuture<Void>> write(CrashReport report) {
    return select().map(entry -> send(entry, report));
  }

  @Override
  public boolean isDelegated() {
    return select().isPresent();
  }

  private Optional<EntryPeer> select() {
    List<EntryPeer> known = entries.get();
    selector.retain(known);
    return selector.select(known, clock.nanoTime());
  }

  private CompletableFuture<Void> send(EntryPeer entry, CrashReport report) {
    return sender
        .apply(entry, report)
        .whenCompleteAsync(
            (ignored, error) -> {
              if (error == null) {
                selector.onSuccess(entry.id());
              } else {
                selector.onFailure(entry.id(), clock.nanoTime());
              }
            },
            control);
  }
}
