package io.fireflyshed.transport.control;

import io.fireflyshed.coordination.drain.DrainOrders;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ModelServiceSpec;
import io.fireflyshed.state.replica.ServingView;
import io.fireflyshed.transport.log.LoggingScheduler;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the control thread, which reads the instance list and the assignments, probes instances,
 * coordinates the availability zone while this process holds its lease, and publishes the serving
 * view.
 *
 * <p>All methods are thread safe.
 */
public final class ControlLoop implements Supplier<ServingView>, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlLoop.class);
  private static final long TICK_INTERVAL_MILLIS = 50;

  private final ScheduledExecutorService executor;
  private final ZoneControl control;

  /**
   * Creates a loop, which is idle until it is started.
   *
   * @param settings the settings, not null
   * @param parts the services and the strategies that the loop uses, not null
   */
  public ControlLoop(ControlSettings settings, ControlParts parts) {
    executor = new LoggingScheduler("control");
    control = new ZoneControl(settings, parts, this::execute);
  }

  /** Starts the control thread. */
  public void start() {
    Runnable tick = () -> runAndLogFailure(control::tick);
    executor.scheduleWithFixedDelay(tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the serving view that was published last.
   *
   * @return the view, never null
   */
  @Override
  public ServingView get() {
    return control.getView();
  }

  /**
   * Returns the meter of the zone.
   *
   * @return the meter, never null
   */
  public ServingMeter getMeter() {
    return control.getMeter();
  }

  /**
   * Replaces the model services that the zone is to run.
   *
   * @param services the services, copied, not null
   */
  public void setServices(List<ModelServiceSpec> services) {
    List<ModelServiceSpec> copy = List.copyOf(services);
    execute(() -> control.setServices(copy));
  }

  /**
   * Replaces the drain orders of the operators by orders for single instances. The replicas of
   * these instances get no new requests, and no replica is formed from them.
   *
   * @param instances the instances, copied, not null
   */
  public void setDrained(Set<InstanceId> instances) {
    setDrainOrders(new DrainOrders(instances, Set.of()));
  }

  /**
   * Replaces the drain orders of the operators.
   *
   * @param orders the instances and fabric domains to drain, not null
   */
  public void setDrainOrders(DrainOrders orders) {
    Objects.requireNonNull(orders, "orders");
    execute(() -> control.setDrainOrders(orders));
  }

  /**
   * Reports that a connection to an instance broke while it carried a request. The replicas of the
   * instance stop serving at once, and the next probes are sent without delay.
   *
   * @param instance the instance, not null
   */
  public void reportFailure(InstanceId instance) {
    execute(() -> control.onConnectionLost(instance));
  }

  /**
   * Releases the lease of the zone, as at shutdown. Probing and publishing continue.
   *
   * @return a future that completes normally when the lease is released or its release has failed
   */
  public CompletableFuture<Void> releaseLease() {
    CompletableFuture<Void> released = new CompletableFuture<>();
    execute(() -> control.releaseLease().whenComplete((result, error) -> released.complete(null)));
    return released;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void execute(Runnable task) {
    try {
      executor.execute(() -> runAndLogFailure(task));
    } catch (RejectedExecutionException e) {
      LOG.debug("control: task rejected, the control thread is stopped");
    }
  }

  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("control: task failed", e);
    }
  }
}
