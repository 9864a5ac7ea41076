package io.fireflyshed.coordination.cost;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.placement.RequestDescriptor;
import java.util.Optional;
import java.util.OptionalInt;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link CostEstimator}. */
public class CostEstimatorTest {

  private static final int SLOTS = 21;
  private static final Optional<EngineTimes> ENGINE =
      EngineTimes.find(CostFixtures.newConfiguration(), CostFixtures.POOL);

  private CostEstimator estimator;
  private UniformRandomProvider random;

  /** Forgets what was learned. */
  @BeforeMethod
  public void reset() {
    estimator = new CostEstimator();
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
  }

  private static RequestDescriptor newRequest(int prompt, int estimate) {
    OptionalInt stated = estimate == 0 ? OptionalInt.empty() : OptionalInt.of(estimate);
    return CostFixtures.newRequest("r", prompt, stated);
  }

  private double predict(int estimate) {
    return estimator.estimate(newRequest(1000, estimate), ENGINE, SLOTS).steps();
  }

  @Test
  public void estimateFollowsTheProfile() {
    WorkEstimate large = estimator.estimate(newRequest(5610, 0), ENGINE, SLOTS);
    // 5,610 tokens at 56.1 a millisecond, and 15.7 million pairs at 3 ms each.
    assertEquals(large.prefillMillis(), 100 + 47.2, 0.1);
    assertEquals(large.steps(), 170, 0.1);
    assertEquals(large.memoryTokens(), 5780, 0.1);
    // A part of the step, the sequence, and 5,695 tokens of context.
    assertEquals(large.stepMillis(), 6.45 / 21 + 0.1 + 0.02 * 5.695, 0.001);
    assertEquals(large.samples(), 0);
  }

  @Test
  public void aConstantBiasOfTenTimesIsLearnedAndForgotten() {
    for (int i = 0; i < 100; i++) {
      estimator.onOutput(newRequest(1000, 1000), 100);
    }
    assertEquals(predict(1000), 100, 15);
    for (int i = 0; i < 300; i++) {
      estimator.onOutput(newRequest(1000, 1000), 1000);
    }
    assertEquals(predict(1000), 1000, 100);
  }

  @Test
  public void estimatesThatSayNothingAreNotTrusted() {
    for (int i = 0; i < 300; i++) {
      int estimate = 512 + random.nextInt(500);
      estimator.onOutput(newRequest(1000, estimate), 100);
      estimator.onOutput(newRequest(1000, 1 + random.nextInt(9000)), 100);
    }
    assertTrue(predict(9000) < 130, "of 9,000: " + predict(9000));
    assertTrue(predict(1) > 70, "of 1: " + predict(1));
  }

  @Test
  public void estimatesThatAreRightAreTrustedThoughOutputsDiffer() {
    for (int i = 0; i < 300; i++) {
      int output = 20 + random.nextInt(400);
      estimator.onOutput(newRequest(1000, output), output);
    }
    assertEquals(predict(20), 20, 5);
    assertEquals(predict(400), 400, 60);
  }

  @Test
  public void aSingleOutlierTeachesLittle() {
    for (int i = 0; i < 50; i++) {
      estimator.onOutput(newRequest(1000, 100), 100);
    }
    estimator.onOutput(newRequest(1000, 100), 100_000);
    assertTrue(predict(100) < 130, "predicted: " + predict(100));
  }

  @Test
  public void theMaximumBoundsThePrediction() {
    RequestDescriptor base = newRequest(100, 5000);
    RequestDescriptor limited =
        new RequestDescriptor(
            base.route(),
            base.pool(),
            true,
            base.rank(),
            base.account(),
            100,
            base.estimatedOutputTokens(),
            64,
            0,
            base.latencyTarget());
    assertEquals(estimator.estimate(limited, ENGINE, SLOTS).steps(), 64, 0.01);
  }

  @Test
  public void serviceTimesAreLearnedByRoute() {
    for (int i = 0; i < 30; i++) {
      estimator.onServiceTime(CostFixtures.newRequest("slow", 0, OptionalInt.empty()), 700);
      estimator.onServiceTime(CostFixtures.newRequest("fast", 0, OptionalInt.empty()), 30);
    }
    RequestDescriptor slow = CostFixtures.newRequest("slow", 0, OptionalInt.empty());
    RequestDescriptor fast = CostFixtures.newRequest("fast", 0, OptionalInt.empty());
    assertEquals(estimator.estimate(slow, Optional.empty(), 1).getWorkMillis(), 700, 1);
    assertEquals(estimator.estimate(fast, Optional.empty(), 2).getWorkMillis(), 15, 1);
    assertEquals(estimator.estimate(fast, Optional.empty(), 2).samples(), 30);
  }

  @Test
  public void whatIsLearnedIsBounded() {
    BoundedMoments<Integer> moments = new BoundedMoments<>(10, 0.1);
    for (int i = 0; i < 1000; i++) {
      moments.add(i, i);
      moments.add(0, 1);
    }
    assertEquals(moments.size(), 10);
    assertEquals(moments.get(0).getMean(), 1, 0.01);
  }
}
