package io.fireflyshed.daemon.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the bodies of requests together don't exceed the memory of {@link PlatformEntry}. */
public class RequestMemoryTest {

  /** The memory of the entry, of which requests may use 15 in 100. */
  private static final long MEMORY_BYTES = 80 << 20;

  private static final int LARGE_BYTES = 1_000_000;
  private static final int CALLERS = 40;

  /** Each body that is held takes a place; a single account may use half of the budget. */
  private static final int MAX_HELD = (int) (MEMORY_BYTES * 0.15 / LARGE_BYTES);

  private static final Duration WORK = Duration.ofMillis(600);

  /** The time in which a request that can't be held is rejected, with that to send its body. */
  private static final Duration MAX_REJECTION_TIME = Duration.ofMillis(1500);

  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger mostRunning = new AtomicInteger();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private RawTargetSite site;

  /** The response to a request and the time that it took. */
  private record Result(RawCaller.Response response, Duration time) {}

  /** Starts an entry with little memory and a target. */
  @BeforeMethod
  public void setUp() throws Exception {
    running.set(0);
    mostRunning.set(0);
    site = new RawTargetSite(this::answer, OptionalLong.of(MEMORY_BYTES), "/lookups/plain");
  }

  /** Checks that nothing is held any more, and stops the entry and the target. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
    while (site.getMetric("fireflyshed_budget_used_bytes") > 0 && System.nanoTime() - end < 0) {
      Thread.sleep(20);
    }
    double used = site.getMetric("fireflyshed_budget_used_bytes");
    site.close();
    assertEquals(used, 0.0, "bytes are held though all requests have ended");
  }

  private void answer(RawTarget.Request request, Socket connection) throws IOException {
    if (request.getPath().equals("/api/report")) {
      RawTarget.write(connection, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    connection.getInputStream().readNBytes(request.getContentLength());
    if (request.getPath().endsWith("/slow")) {
      mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
      pause(WORK);
      running.decrementAndGet();
    }
    RawTarget.write(
        connection,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
            + request.getHeader("x-attempt-id").orElse("")
            + "\r\nX-Replica-Signature: s\r\nContent-Length: 2\r\n\r\nok");
  }

  private static void pause(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private CompletableFuture<Result> send(String path, byte[] body) {
    return CompletableFuture.supplyAsync(
        () -> {
          long start = System.nanoTime();
          try {
            RawCaller.Response response = site.send(path, body);
            return new Result(response, Duration.ofNanos(System.nanoTime() - start));
          } catch (IOException e) {
            throw new UncheckedIOException("the request failed", e);
          }
        },
        callers);
  }

  @Test
  public void largeBodiesThatDoNotFitAreRejectedBesideSmallOnesThatAreServed() {
    List<CompletableFuture<Result>> large = new ArrayList<>();
    List<CompletableFuture<Result>> small = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      large.add(send("/orders/slow", new byte[LARGE_BYTES]));
      pause(Duration.ofMillis(5));
      small.add(send(i % 2 == 0 ? "/lookups/plain" : "/orders/plain", new byte[500]));
    }
    int served = 0;
    for (CompletableFuture<Result> future : large) {
      Result result = future.join();
      if (result.response().isSuccess()) {
        served++;
      } else {
        assertEquals(result.response().status(), 503, result.toString());
        assertTrue(result.response().retryAfter().orElse(0) > 0, result.toString());
        assertTrue(result.time().compareTo(MAX_REJECTION_TIME) < 0, result.toString());
      }
    }
    assertTrue(served >= MAX_HELD / 3, served + " large requests were served");
    assertTrue(mostRunning.get() <= MAX_HELD, mostRunning + " large bodies were held");
    for (CompletableFuture<Result> future : small) {
      assertTrue(future.join().response().isSuccess(), future.join().toString());
    }
  }
}
