package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.drain.DrainOrders;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ServingView;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the control thread, which reads the platform, probes members, coordinates the zone while it
 * holds the lease, and publishes the serving view.
 *
 * <p>All methods are thread safe.
 */
public final class ControlLoop implements Supplier<ServingView>, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlLoop.class);
  private static final long TICK_MILLIS = 50;

  private final ScheduledExecutorService thread;
  private final ZoneControl control;

  /**
   * Creates a loop that does nothing until it is started.
   *
   * @param settings the settings, not null
   * @param parts what it works with, not null
   */
  public ControlLoop(ControlSettings settings, ControlParts parts) {
    thread = Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "control"));
    control = new ZoneControl(settings, parts, this::execute);
  }

  /** Starts the control thread. */
  public void start() {
    Runnable tick = () -> runGuarded(control::tick);
    thread.scheduleWithFixedDelay(tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Gets the view that was published last.
   *
   * @return the view, never null
   */
  @Override
  public ServingView get() {
    return control.getView();
  }

  /**
   * Gets what the meters show of the zone.
   *
   * @return the measures, never null
   */
  public ServingMeter getMeter() {
    return control.getMeter();
  }

  /**
   * Takes in the wanted model services, as from a new configuration.
   *
   * @param services the services, not null
   */
  public void setServices(List<ModelServiceSpec> services) {
    List<ModelServiceSpec> copy = List.copyOf(services);
    execute(() -> control.setServices(copy));
  }

  /**
   * Replaces the instances that an operator drains. Their replicas get no new work, and no replica
   * is formed of them.
   *
   * @param instances the instances, copied, not null
   */
  public void setDrained(Set<InstanceId> instances) {
    setDrains(new DrainOrders(instances, Set.of()));
  }

  /**
   * Replaces the instances and the fabric domains that an operator drains.
   *
   * @param orders the instances and domains, not null
   */
  public void setDrains(DrainOrders orders) {
    Objects.requireNonNull(orders, "orders");
    execute(() -> control.setDrains(orders));
  }

  /**
   * Takes in that a connection to an instance broke while it carried a request. The replicas of the
   * instance close at once and are probed anew.
   *
   * @param instance the instance, not null
   */
  public void reportFailure(InstanceId instance) {
    execute(() -> control.onConnectionLost(instance));
  }

  /**
   * Hands the lease of the zone over, as at shutdown. Probing and publishing go on.
   *
   * @return a future that completes when the lease is given up or could not be handed over
   */
  public CompletableFuture<Void> releaseLease() {
    CompletableFuture<Void> released = new CompletableFuture<>();
    execute(() -> control.releaseLease().whenComplete((result, error) -> released.complete(null)));
    return released;
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }

  private void execute(Runnable step) {
    try {
      thread.execute(() -> runGuarded(step));
    } catch (RejectedExecutionException e) {
      LOG.debug("control: step dropped after close");
    }
  }

  private static void runGuarded(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      LOG.error("control: step failed", e);
    }
  }
}
