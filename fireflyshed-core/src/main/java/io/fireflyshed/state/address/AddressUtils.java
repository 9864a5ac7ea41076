package io.fireflyshed.state.address;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses network addresses. */
public final class AddressUtils {

  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

  private static final int OCTETS = 4;
  private static final int MAX_OCTET = 255;
  private static final int MAX_PORT = 65_535;

  private AddressUtils() {}

  /**
   * Parses an IPv4 address and a port. Names are not accepted, since their lookup would block the
   * thread that connects.
   *
   * @param text the address in the form {@code 10.0.0.1:80}, not null
   * @return the address, never null
   * @throws IllegalArgumentException if the text is no IPv4 address followed by a port from 1 to
   *     65535
   */
  public static InetSocketAddress parseIpv4(String text) {
    Matcher matcher = ADDRESS.matcher(Objects.requireNonNull(text, "text"));
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not an IPv4 address and a port: " + text);
    }
    byte[] octets = new byte[OCTETS];
    for (int i = 0; i < OCTETS; i++) {
      octets[i] = (byte) parseNumber(text, matcher.group(i + 1), 0, MAX_OCTET);
    }
    int port = parseNumber(text, matcher.group(OCTETS + 1), 1, MAX_PORT);
    try {
      return new InetSocketAddress(InetAddress.getByAddress(octets), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("an IPv4 address has four octets", e);
    }
  }

  private static int parseNumber(String text, String digits, int min, int max) {
    int number = Integer.parseInt(digits);
    if (number < min || number > max) {
      throw new IllegalArgumentException(number + " is out of range in address " + text);
    }
    return number;
  }
}
