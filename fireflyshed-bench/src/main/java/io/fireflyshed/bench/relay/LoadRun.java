package io.fireflyshed.bench.relay;

import com.sun.management.OperatingSystemMXBean;
import io.fireflyshed.bench.BenchUtils;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Sends completions to one address and measures the answers. */
final class LoadRun {

  private static final long MAX_MICROS = 60_000_000;
  private static final int DIGITS = 3;
  private static final String BODY =
      "{\"model\":\"cards\",\"prompt\":\"a card\",\"max_tokens\":64,\"stream\":true}";

  private final HttpClient client;
  private final String url;
  private final long wantedBytes;
  private final Histogram latency = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final AtomicLong failures = new AtomicLong();

  LoadRun(ConnectionProvider connections, InetSocketAddress address, long wantedBytes) {
    this.client =
        HttpClient.create(connections)
            .headers(h -> h.set("authorization", "Bearer " + FixedEntry.KEY));
    this.url = "http://127.0.0.1:" + address.getPort() + "/v1/completions";
    this.wantedBytes = wantedBytes;
  }

  /** Keeps a number of requests in flight for a time. */
  LoadResult runClosed(int concurrency, Duration time) {
    long end = System.nanoTime() + time.toNanos();
    return measure(
        Flux.range(0, concurrency)
            .flatMap(
                i -> Mono.defer(this::call).repeat(() -> end - System.nanoTime() > 0).then(),
                concurrency)
            .then());
  }

  /** Starts requests at a fixed rate for a time. */
  LoadResult runOpen(double requestsPerSecond, Duration time) {
    long count = (long) (requestsPerSecond * time.toNanos() / 1e9);
    Duration tick = Duration.ofMillis(1);
    double perTick = requestsPerSecond / 1000;
    return measure(
        Flux.interval(tick)
            .onBackpressureBuffer()
            .concatMap(t -> Flux.range(0, (int) ((t + 1) * perTick) - (int) (t * perTick)))
            .take(count)
            .flatMap(i -> Mono.defer(this::call), 4096)
            .then());
  }

  /** Opens streams, waits for the first bytes of each and gets the heap that they hold. */
  double measureOpenStreams(int count) {
    long before = BenchUtils.getUsedHeap();
    CountDownLatch opened = new CountDownLatch(count);
    Disposable streams =
        Flux.range(0, count)
            .flatMap(i -> open().doOnNext(b -> opened.countDown()).then(Mono.never()), count)
            .subscribe();
    try {
      if (!opened.await(1, TimeUnit.MINUTES)) {
        throw new IllegalStateException("not all streams opened");
      }
      return BenchUtils.getUsedHeap() - before;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    } finally {
      streams.dispose();
    }
  }

  /** Opens a stream and tells its first bytes; it stays open until it is cancelled. */
  private Flux<Long> open() {
    AtomicBoolean isFirst = new AtomicBoolean(true);
    return client
        .post()
        .uri(url)
        .send(
            Mono.fromSupplier(() -> Unpooled.wrappedBuffer(BODY.getBytes(StandardCharsets.UTF_8))))
        .response((response, body) -> body.map(b -> (long) b.readableBytes()))
        .filter(b -> isFirst.getAndSet(false));
  }

  private LoadResult measure(Mono<Void> work) {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    final long cpu = system.getProcessCpuTime();
    final long start = System.nanoTime();
    work.block(Duration.ofMinutes(2));
    double seconds = (System.nanoTime() - start) / 1e9;
    double cpuSeconds = (system.getProcessCpuTime() - cpu) / 1e9;
    return new LoadResult(latency.getTotalCount(), failures.get(), seconds, latency, cpuSeconds);
  }

  private Mono<Void> call() {
    long start = System.nanoTime();
    return client
        .post()
        .uri(url)
        .send(
            Mono.fromSupplier(() -> Unpooled.wrappedBuffer(BODY.getBytes(StandardCharsets.UTF_8))))
        .response((response, body) -> body.map(b -> (long) b.readableBytes()))
        .reduce(0L, Long::sum)
        .doOnNext(bytes -> record(bytes, start))
        .onErrorResume(
            e -> {
              failures.incrementAndGet();
              return Mono.empty();
            })
        .then();
  }

  private void record(long bytes, long start) {
    if (bytes == wantedBytes) {
      latency.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - start) / 1000));
    } else {
      failures.incrementAndGet();
    }
  }
}
