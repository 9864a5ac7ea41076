package io.fireflyshed.transport.poison;

import io.fireflyshed.protocol.poison.CrashReport;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Has crash reports written by another entry, so that few entries write. */
public interface ReportWriter {

  /**
   * Has another entry write a report.
   *
   * @param report the report, not null
   * @return a future that completes once the other entry has taken the report and fails if it has
   *     not; empty if this entry must write it itself
   */
  Optional<CompletableFuture<Void>> write(CrashReport report);

  /**
   * Tests whether another entry writes reports for this one.
   *
   * @return true if {@link #write} would return a future
   */
  boolean isDelegated();

  /**
   * Creates a writer for an entry that writes its reports itself.
   *
   * @return the writer, never null
   */
  static ReportWriter none() {
    return new ReportWriter() {
      @Override
      public Optional<CompletableFuture<Void>> write(CrashReport report) {
        return Optional.empty();
      }

      @Override
      public boolean isDelegated() {
        return false;
      }
    };
  }
}
