package io.fireflyshed.state.address;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.net.InetSocketAddress;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AddressUtils}. */
public class AddressUtilsTest {

  @Test
  public void addressAndPortAreParsedWithoutLookup() {
    InetSocketAddress address = AddressUtils.parseIpv4("10.200.0.255:65535");
    assertEquals(address.getHostString(), "10.200.0.255");
    assertEquals(address.getPort(), 65_535);
  }

  /** Provides texts that are no IPv4 address and port. */
  @DataProvider
  public static Object[][] malformedAddresses() {
    return new Object[][] {
      {""},
      {":80"},
      {"10.0.0.1"},
      {"10.0.0.1:"},
      {"10.0.0.1:0"},
      {"10.0.0.1:-1"},
      {"10.0.0.1:65536"},
      {"10.0.0.1:" + "9".repeat(400)},
      {"10.0.0.256:80"},
      {"10.0.1:80"},
      {"host:80"},
      {"::1:80"},
      {"[::1]:80"},
      {"10.0.0.1:80/path"},
      {" 10.0.0.1:80"}
    };
  }

  @Test(dataProvider = "malformedAddresses")
  public void malformedAddressIsRejected(String text) {
    assertThrows(IllegalArgumentException.class, () -> AddressUtils.parseIpv4(text));
  }
}
