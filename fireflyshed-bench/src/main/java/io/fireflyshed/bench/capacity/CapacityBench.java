package io.fireflyshed.bench.capacity;

import io.fireflyshed.bench.Figures;
import io.fireflyshed.coordination.routing.LeastInFlightRouter;
import io.fireflyshed.daemon.command.Command;
import io.fireflyshed.daemon.settings.Setting;
import io.fireflyshed.daemon.settings.SettingValues;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Measures how costs grow with size, as a base for docs/CAPACITY.md.
 *
 * <p>Each cost is measured at several sizes; the slope is that of the least-squares line. The
 * baseline of a point is what the line through the origin and the first point predicts, so a ratio
 * above one tells that the cost grows faster than linearly.
 */
public final class CapacityBench implements Command {

  @Override
  public String getName() {
    return "bench capacity";
  }

  @Override
  public String getSummary() {
    return "Measures how the costs of each role grow with size.";
  }

  @Override
  public List<Setting<?>> getSettings() {
    return List.of();
  }

  @Override
  public int run(SettingValues values, PrintStream out) {
    Figures figures = new Figures(out);
    List<SlopeMeasurement> all = new ArrayList<>();
    all.addAll(StateMeasurements.getAll(LeastInFlightRouter::new));
    all.add(new ProbeMeasurement());
    all.add(new ProbeBytes());
    all.add(new StreamMemory());
    boolean isValid = true;
    Map<String, Double> slopes = new HashMap<>();
    for (SlopeMeasurement measurement : all) {
      isValid &= measure(measurement, figures, slopes);
    }
    new Projections(slopes, figures).print();
    return isValid ? EXIT_OK : EXIT_FAILED;
  }

  private static boolean measure(
      SlopeMeasurement measurement, Figures figures, Map<String, Double> slopes) {
    SimpleRegression line = new SimpleRegression();
    double first = 0;
    for (int size : measurement.getSizes()) {
      double cost = measurement.measure(size);
      first = first == 0 ? cost / size : first;
      line.addData(size, cost);
      figures.print(
          measurement.getName() + "-at-" + size, cost, measurement.getUnit(), first * size);
    }
    figures.print(
        measurement.getName() + "-slope", line.getSlope(), measurement.getUnit() + "/each", first);
    figures.print(measurement.getName() + "-intercept", line.getIntercept(), measurement.getUnit());
    figures.print(measurement.getName() + "-r2", line.getRSquare(), "1");
    slopes.put(measurement.getName(), line.getSlope());
    slopes.put(measurement.getName() + "-intercept", line.getIntercept());
    return first > 0;
  }
}
