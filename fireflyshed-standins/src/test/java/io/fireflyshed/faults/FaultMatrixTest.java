package io.fireflyshed.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Runs the fault matrix and compares its tables with those in docs/FAULTS.md.
 *
 * <p>With {@code -Dfireflyshed.faults.write=true} it writes the tables to the page instead of
 * comparing them.
 */
public class FaultMatrixTest {

  private static final Path PAGE = Path.of("..", "docs", "FAULTS.md");
  private static final String BEGIN_MARKER = "<!-- begin of the written part -->\n";
  private static final String END_MARKER = "<!-- end of the written part -->\n";
  private static final String REPRODUCTION_HINT =
      "; reproduce with: mvn -pl fireflyshed-standins -am test -Dtest=FaultMatrixTest"
          + " -Dsurefire.failIfNoSpecifiedTests=false";

  @Test
  public void guaranteesHoldInEveryCellAndPageIsUpToDate() throws IOException {
    FaultMatrix matrix = new FaultMatrix();
    StringBuilder tables = new StringBuilder(BEGIN_MARKER).append('\n');
    for (FaultTrial trial : FaultTrials.getAll()) {
      matrix.run(trial);
      tables.append(matrix.toMarkdown(trial)).append('\n');
    }
    tables.append(END_MARKER);
    List<String> violations = matrix.getViolations();
    assertTrue(violations.isEmpty(), violations.stream().limit(5).toList() + REPRODUCTION_HINT);
    String page = Files.readString(PAGE);
    int begin = page.indexOf(BEGIN_MARKER);
    int end = page.indexOf(END_MARKER) + END_MARKER.length();
    if (Boolean.getBoolean("fireflyshed.faults.write")) {
      Files.writeString(PAGE, page.substring(0, begin) + tables + page.substring(end));
      return;
    }
    assertEquals(page.substring(begin, end), tables.toString(), "docs/FAULTS.md is out of date");
  }
}
