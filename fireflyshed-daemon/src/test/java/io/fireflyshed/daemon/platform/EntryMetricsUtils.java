package io.fireflyshed.daemon.platform;

import io.fireflyshed.platform.PlatformSettings;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** Reads the metrics that an entry serves. */
final class EntryMetricsUtils {

  private EntryMetricsUtils() {}

  /** Tests whether an entry, which must register first, has a share of the slack of retries. */
  static boolean isRetryAllowed(PlatformSettings settings) {
    return getSum(settings, "fireflyshed_retry_allowance") >= 1;
  }

  /** Returns the sum of the values of a metric over its tags, 0 if there is none. */
  static double getSum(PlatformSettings settings, String name) {
    URI uri = URI.create("http://127.0.0.1:" + settings.metricsListen().getPort() + "/metrics");
    try {
      return HttpClient.newHttpClient()
          .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
          .body()
          .lines()
          .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
          .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
          .sum();
    } catch (IOException e) {
      throw new IllegalStateException("the request for the metrics failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
