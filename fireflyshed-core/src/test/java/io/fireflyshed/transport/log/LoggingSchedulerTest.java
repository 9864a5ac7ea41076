package io.fireflyshed.transport.log;

import static org.testng.Assert.assertEquals;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link LoggingScheduler}. */
public class LoggingSchedulerTest {

  private static final String NAME = "scheduler-test";

  private final Logger logger = (Logger) LoggerFactory.getLogger("io.fireflyshed." + NAME);
  private final LoggingScheduler scheduler = new LoggingScheduler(NAME);
  private ListAppender<ILoggingEvent> lines;

  /** Starts to collect log lines. */
  @BeforeMethod
  public void setUp() {
    lines = new ListAppender<>();
    lines.start();
    logger.addAppender(lines);
  }

  /** Ends the collection. */
  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    logger.detachAppender(lines);
    scheduler.shutdownNow();
  }

  /** Guards against tasks that fail without a trace, after which what they kept going stands. */
  @Test
  public void errorsAreLoggedAndOtherTasksRun() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    scheduler.execute(
        () -> {
          throw new IllegalStateException("first");
        });
    scheduler.schedule(
        () -> {
          throw new AssertionError("second");
        },
        1,
        TimeUnit.MILLISECONDS);
    scheduler.schedule(done::countDown, 50, TimeUnit.MILLISECONDS);
    done.await();
    List<String> errors =
        lines.list.stream().map(line -> line.getThrowableProxy().getMessage()).toList();
    assertEquals(errors, List.of("first", "second"));
  }
}
