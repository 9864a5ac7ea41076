package io.fireflyshed.daemon.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** One process of an entry, from its start to its exit, and the signals that it got. */
final class EntryLife {

  /** A signal and the time after which the process may have noticed it. */
  record SentSignal(String name, long nanos) {}

  private final String name;
  private final Process process;
  private final Path log;
  private final long startNanos = System.nanoTime();
  private final List<SentSignal> signals = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Long> exitNanos;

  EntryLife(String name, ProcessBuilder builder, Path log) throws IOException {
    this.name = name;
    this.log = log;
    process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    exitNanos = process.onExit().thenApply(ended -> System.nanoTime());
  }

  Path getLog() {
    return log;
  }

  Process getProcess() {
    return process;
  }

  long getStartNanos() {
    return startNanos;
  }

  /** Waits for the end of the process and gets when it was. */
  long getExitNanos() {
    return exitNanos.join();
  }

  List<SentSignal> getSignals() {
    return signals;
  }

  /** Gets when the process got its first SIGTERM. */
  OptionalLong getStopNanos() {
    return signals.stream().filter(s -> s.name().equals("TERM")).mapToLong(s -> s.nanos()).min();
  }

  /** Sends a signal, unless the process has ended. */
  void signal(String signal) throws IOException, InterruptedException {
    if (!process.isAlive()) {
      return;
    }
    signals.add(new SentSignal(signal, System.nanoTime()));
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  /** Kills the process, as the platform does with one that outlives its grace time. */
  void killAfterGrace() {
    signals.add(new SentSignal("KILL after the grace time", System.nanoTime()));
    process.destroyForcibly();
  }

  boolean awaitExit(long untilNanos) throws InterruptedException {
    long nanos = Math.max(0, untilNanos - System.nanoTime());
    return process.waitFor(nanos, TimeUnit.NANOSECONDS);
  }

  /** Ends the process without recording it as a fault. */
  void close() {
    process.destroyForcibly();
    process.onExit().join();
  }

  /** Tests whether the process was paused or killed, other than by a planned stop, in a time. */
  boolean isDisturbed(long fromNanos, long untilNanos) {
    boolean isPaused = false;
    for (SentSignal signal : signals) {
      if (signal.nanos() <= untilNanos) {
        isPaused |= signal.name().equals("STOP");
        if (signal.name().equals("KILL") || isPaused && signal.nanos() >= fromNanos) {
          return true;
        }
        isPaused &= !signal.name().equals("CONT");
      }
    }
    return isPaused;
  }

  @Override
  public String toString() {
    return name;
  }
}
