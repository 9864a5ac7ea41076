package io.fireflyshed.daemon.soak;

import io.fireflyshed.daemon.soak.CallerRequest.Kind;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;

/** The entries of a trial, which know each other, and their callers. */
final class EntryGroup implements AutoCloseable {

  private static final Duration FIRST_START_TIME = Duration.ofSeconds(90);

  private final long seed;
  private final List<EntryNode> nodes = new ArrayList<>();
  private final List<CallerAttempt> attempts = new CopyOnWriteArrayList<>();
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Future<Integer>> callers = new ArrayList<>();
  private final StandInBalancer balancer;

  /** Starts the entries, which log to a directory. */
  EntryGroup(
      TrialSettings settings,
      double retryRatio,
      int retrySlack,
      InetSocketAddress store,
      Path directory)
      throws IOException {
    seed = settings.seed();
    Files.createDirectories(directory);
    for (EntryOptions options :
        EntryOptions.ofFreePorts(settings.entries(), retryRatio, retrySlack)) {
      int index = nodes.size();
      EntryNode node =
          new EntryNode(index, store, directory, options, settings.getClassPath(index));
      nodes.add(node);
      node.start();
    }
    balancer = new StandInBalancer(nodes);
  }

  List<EntryLife> getLives() {
    return nodes.stream().map(EntryNode::getLife).toList();
  }

  List<CallerAttempt> getAttempts() {
    return attempts;
  }

  /** Waits until each entry serves requests of some kinds. */
  void awaitServing(List<Kind> kinds) throws InterruptedException {
    ServingProbe probe = new ServingProbe(seed, kinds);
    for (EntryNode node : nodes) {
      long untilNanos = node.getLife().getStartNanos() + FIRST_START_TIME.toNanos();
      Optional<Kind> unserved = probe.awaitServing(node, untilNanos);
      if (unserved.isPresent()) {
        throw new IllegalStateException(node.getLife() + " serves no " + unserved.get());
      }
    }
  }

  void startCallers(CallerHabits habits, int count) {
    for (int i = 0; i < count; i++) {
      Caller caller = new Caller(seed, i, habits, balancer, attempts::add, isStopped::get);
      callers.add(threads.submit(caller));
    }
  }

  /** Lets callers finish their requests. */
  void stopCallers() throws InterruptedException, ExecutionException {
    isStopped.set(true);
    for (Future<Integer> caller : callers) {
      caller.get();
    }
  }

  @Override
  public void close() {
    isStopped.set(true);
    threads.shutdownNow();
    balancer.close();
    getLives().forEach(EntryLife::close);
  }
}
