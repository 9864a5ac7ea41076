package io.fireflyshed.bench.capacity;

import java.util.List;

/** Measures one cost at several sizes. */
interface SlopeMeasurement {

  /** Gets the name of the cost, lower case with dashes. */
  String getName();

  /** Gets the unit of the cost. */
  String getUnit();

  /** Gets the sizes to measure, rising. */
  List<Integer> getSizes();

  /** Measures the cost at a size. */
  double measure(int size);
}
