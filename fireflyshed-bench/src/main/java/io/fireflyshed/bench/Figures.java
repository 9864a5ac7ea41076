package io.fireflyshed.bench;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Objects;

/** Prints the figures of a measurement, one a line. Not thread safe. */
public final class Figures {

  private final PrintStream out;

  /**
   * Creates a printer.
   *
   * @param out where to print, not null
   */
  public Figures(PrintStream out) {
    this.out = Objects.requireNonNull(out, "out");
  }

  /**
   * Prints a figure beside its baseline of the same run.
   *
   * @param name the name, lower case with dashes, not null
   * @param value the measured value
   * @param unit the unit, not null
   * @param baseline the value of the baseline
   */
  public void print(String name, double value, String unit, double baseline) {
    out.printf(
        Locale.ROOT,
        "figure %s %.4g %s baseline=%.4g ratio=%.4g%n",
        name,
        value,
        unit,
        baseline,
        value / baseline);
  }

  /**
   * Prints a figure that has no baseline.
   *
   * @param name the name, lower case with dashes, not null
   * @param value the measured value
   * @param unit the unit, not null
   */
  public void print(String name, double value, String unit) {
    out.printf(Locale.ROOT, "figure %s %.4g %s baseline=none ratio=none%n", name, value, unit);
  }
}
