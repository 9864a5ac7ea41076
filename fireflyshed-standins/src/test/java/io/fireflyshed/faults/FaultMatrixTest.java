package io.fireflyshed.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Walks the fault matrix and compares it with docs/FAULTS.md.
 *
 * <p>Writes the page anew with {@code -Dfireflyshed.faults.write=true}.
 */
public class FaultMatrixTest {

  private static final Path PAGE = Path.of("..", "docs", "FAULTS.md");
  private static final String BEGIN = "<!-- begin of the written part -->\n";
  private static final String END = "<!-- end of the written part -->\n";
  private static final String REPRODUCE =
      "; reproduce with: mvn -pl fireflyshed-standins -am test -Dtest=FaultMatrixTest"
          + " -Dsurefire.failIfNoSpecifiedTests=false";

  @Test
  public void everyCellHoldsAndThePageIsUpToDate() throws IOException {
    FaultMatrix matrix = new FaultMatrix();
    StringBuilder written = new StringBuilder(BEGIN).append('\n');
    for (FaultTrial trial : FaultTrials.getAll()) {
      matrix.run(trial);
      written.append(matrix.toMarkdown(trial)).append('\n');
    }
    written.append(END);
    List<String> violations = matrix.getViolations();
    assertTrue(violations.isEmpty(), violations.stream().limit(5).toList() + REPRODUCE);
    String page = Files.readString(PAGE);
    int begin = page.indexOf(BEGIN);
    int end = page.indexOf(END) + END.length();
    if (Boolean.getBoolean("fireflyshed.faults.write")) {
      Files.writeString(PAGE, page.substring(0, begin) + written + page.substring(end));
      return;
    }
    assertEquals(page.substring(begin, end), written.toString(), "docs/FAULTS.md is out of date");
  }
}
