package io.fireflyshed.daemon.platform;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the requests of all entries together against limits of targets that fall. */
public class FallingRequestLimitTest {

  /** Provides numbers of entries, from a small deployment to the grown ones. */
  @DataProvider
  public Object[][] entryCounts() {
    return new Object[][] {{7}, {9}, {59}, {68}};
  }

  @Test(dataProvider = "entryCounts")
  public void requestsStayWithinALimitThatFalls(int entryCount) {
    DeploymentRequestLimitTest deployment = new DeploymentRequestLimitTest();
    deployment.setUp();
    deployment.setLimits(6, 1, 30);
    deployment.play(entryCount, 0.5);
    deployment.assertWithinLimits();
  }
}
