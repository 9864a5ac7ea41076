package io.fireflyshed.coordination.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.fireflyshed.coordination.stream.StreamAssembler.EndState;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link StreamAssembler}. */
public class StreamAssemblerTest {

  private StreamAssembler<String> answer;

  /** Creates an assembler with a first attempt. */
  @BeforeMethod
  public void setUp() {
    answer = new StreamAssembler<>(2);
    answer.begin("attempt-1");
  }

  @Test
  public void runsTheExample() {
    StreamAssembler<String> answer = new StreamAssembler<>(16);
    answer.begin("attempt-1");
    assertEquals(answer.accept("attempt-1", 0, 1, "a"), List.of("a"));
    answer.begin("attempt-2"); // resumes at offset 1
    assertEquals(answer.accept("attempt-1", 1, 1, "late"), List.of());
    assertEquals(answer.accept("attempt-2", 1, 1, "b"), List.of("b"));
    assertEquals(answer.end("attempt-2", 2), EndState.COMPLETE);
  }

  @Test
  public void buffersEarlyEventsAndDropsRepeatedOnes() {
    assertEquals(answer.accept("attempt-1", 1, 1, "b"), List.of());
    assertEquals(answer.accept("attempt-1", 0, 1, "a"), List.of("a", "b"));
    assertEquals(answer.accept("attempt-1", 0, 1, "a"), List.of());
    assertEquals(answer.begin("attempt-2"), 2);
  }

  @Test
  public void restOfAnAnswerStartsAfterWhatWasDelivered() {
    StreamAssembler<String> rest = new StreamAssembler<>(16, 2);
    assertEquals(rest.begin("attempt-2"), 2);
    assertEquals(rest.accept("attempt-2", 1, 1, "repeated"), List.of());
    assertEquals(rest.accept("attempt-2", 2, 1, "c"), List.of("c"));
    assertEquals(rest.end("attempt-2", 3), EndState.COMPLETE);
  }

  @Test
  public void endWithGapIsIncomplete() {
    answer.accept("attempt-1", 1, 1, "b");
    assertEquals(answer.end("attempt-1", 2), EndState.INCOMPLETE);
    assertEquals(answer.end("attempt-0", 2), EndState.IGNORED);
  }

  @Test
  public void bufferedEventsOfAnAbandonedAttemptAreDropped() {
    answer.accept("attempt-1", 1, 1, "old");
    answer.begin("attempt-2");
    assertEquals(answer.accept("attempt-2", 0, 1, "a"), List.of("a"));
    assertEquals(answer.getDelivered(), 1);
  }

  @Test
  public void failsOnOverlapAndOnTooManyEarlyEvents() {
    answer.accept("attempt-1", 0, 2, "ab");
    assertThrows(IllegalStateException.class, () -> answer.accept("attempt-1", 1, 2, "bc"));
    answer.accept("attempt-1", 5, 1, "x");
    answer.accept("attempt-1", 7, 1, "y");
    assertThrows(IllegalStateException.class, () -> answer.accept("attempt-1", 9, 1, "z"));
  }
}
