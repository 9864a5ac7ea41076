package io.fireflyshed.protocol.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.fireflyshed.coordination.poison.CrashFingerprint;
import io.fireflyshed.coordination.poison.CrashId;
import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests {@link CrashReportCodec}. */
public class CrashReportCodecTest {

  @Test
  public void decodedReportEqualsTheEncodedOne() {
    RequestFingerprints plain = new RequestFingerprints(newRequest("f1"), Set.of());
    RequestFingerprints generation =
        new RequestFingerprints(newRequest("f2"), Set.of(newPart("p1"), newPart("p2")));
    CrashReport report =
        new CrashReport(
            Map.of(
                new CrashId(new InstanceId("t1"), 5),
                new ReportedCrash(Optional.of(Duration.ofMillis(7)), List.of(plain, generation)),
                new CrashId(new InstanceId("t2"), 0),
                new ReportedCrash(Optional.empty(), List.of(plain))),
            Set.of(newRequest("f3"), newPart("p1")),
            Set.of(newPart("p2")));
    assertEquals(CrashReportCodec.decode(CrashReportCodec.encode(report)), report);
  }

  private static CrashFingerprint newRequest(String id) {
    return new CrashFingerprint(CrashFingerprint.Kind.REQUEST, id);
  }

  private static CrashFingerprint newPart(String id) {
    return CrashFingerprint.ofPart(new ServiceName("desk-1"), id);
  }

  @Test
  public void reportOfAnEarlierReleaseHasNoTimes() {
    String text =
        """
        {"crashes":[{"target":"t1","start":5,"requests":[{"request":"request-f1","parts":[]}]}]}
        """;
    RequestFingerprints plain = new RequestFingerprints(newRequest("f1"), Set.of());
    assertEquals(
        CrashReportCodec.decode(text).crashes(),
        Map.of(
            new CrashId(new InstanceId("t1"), 5),
            new ReportedCrash(Optional.empty(), List.of(plain))));
  }

  @Test
  public void textThatIsNoReportIsRejected() {
    expectThrows(
        IllegalArgumentException.class, () -> CrashReportCodec.decode("{\"crashes\":[{}]}"));
    expectThrows(IllegalArgumentException.class, () -> CrashReportCodec.decode("no report"));
  }
}
