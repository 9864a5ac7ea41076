package io.fireflyshed.protocol.poison;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link RefusalRowCodec}. */
public class RefusalRowCodecTest {

  @Test
  public void decodedRowEqualsTheEncodedOne() {
    RefusalRow row =
        new RefusalRow(
            "report/e1/",
            3,
            Optional.of(Duration.ofMillis(5)),
            1,
            Optional.of(Duration.ofMillis(7)));
    assertEquals(RefusalRowCodec.decode(RefusalRowCodec.encode(row)), row);
    RefusalRow unknown = new RefusalRow("", 0, Optional.empty(), 0, Optional.empty());
    assertEquals(RefusalRowCodec.decode(RefusalRowCodec.encode(unknown)), unknown);
  }

  @Test
  public void rowOfAnEarlierReleaseIsTheSource() {
    assertEquals(
        RefusalRowCodec.decode("report/entry-1/"),
        new RefusalRow("report/entry-1/", 0, Optional.empty(), 0, Optional.empty()));
  }
}
