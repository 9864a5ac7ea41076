package io.fireflyshed.transport.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.fireflyshed.coordination.budget.ByteBudget;
import io.fireflyshed.coordination.budget.ByteClaim;
import io.fireflyshed.coordination.budget.ByteUse;
import io.fireflyshed.state.clock.ManualClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link HeldBody}. */
public class HeldBodyTest {

  private static final int CAPACITY = 1 << 20;
  private static final ByteClaim CLAIM = new ByteClaim(ByteUse.REQUEST, Set.of(), true);

  private ByteBudget budget;

  /** Creates an empty budget. */
  @BeforeMethod
  public void setUp() {
    budget = new ByteBudget(CAPACITY, new ManualClock(), ByteBudget.Listener.none());
  }

  private HeldBody newBody(int statedLength) {
    return new HeldBody(budget.tryReserve(CLAIM, statedLength), statedLength);
  }

  private static byte[] newBytes(int length) {
    byte[] bytes = new byte[length];
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(length);
    random.nextBytes(bytes);
    return bytes;
  }

  private static byte[] readAll(HeldBody body) {
    ByteBuf buffer = body.newBuffer();
    try {
      return ByteBufUtil.getBytes(buffer);
    } finally {
      buffer.release();
    }
  }

  /** Provides lengths on and beside the limits of segments. */
  @DataProvider
  public Object[][] lengths() {
    return new Object[][] {
      {0}, {1}, {16 << 10}, {(16 << 10) + 1}, {64 << 10}, {80 << 10}, {(80 << 10) + 1}, {300_000}
    };
  }

  @Test(dataProvider = "lengths")
  public void bodyIsReadAsItWasAppended(int length) {
    byte[] bytes = newBytes(length);
    for (int statedLength : new int[] {length, 0}) {
      HeldBody body = newBody(statedLength);
      for (int start = 0; start < length; start += 7_000) {
        int end = Math.min(length, start + 7_000);
        assertTrue(body.append(Unpooled.wrappedBuffer(bytes, start, end - start)));
      }
      assertEquals(body.getLength(), length);
      assertEquals(readAll(body), bytes);
      assertEquals(
          body.copyBytes(length / 2, length - length / 2).orElseThrow(),
          Arrays.copyOfRange(bytes, length / 2, length));
      var digest = DigestUtils.getSha256Digest();
      body.addTo(digest);
      assertEquals(digest.digest(), DigestUtils.sha256(bytes));
      body.close();
      assertEquals(budget.getUsed(), 0);
    }
  }

  @Test
  public void noMoreThanTheStatedLengthIsTaken() {
    HeldBody body = newBody(10);
    assertTrue(body.append(Unpooled.wrappedBuffer(newBytes(6))));
    assertFalse(body.append(Unpooled.wrappedBuffer(newBytes(5))));
    body.close();
  }

  @Test
  public void bodyWithoutALengthGrowsOnlyWithinTheBudget() {
    HeldBody body = newBody(0);
    int appended = 0;
    while (body.append(Unpooled.wrappedBuffer(newBytes(50_000)))) {
      appended += 50_000;
      assertTrue(appended <= budget.getUsed() && budget.getUsed() <= CAPACITY);
    }
    assertTrue(appended > CAPACITY / 2, "appended " + appended);
    body.close();
    assertEquals(budget.getUsed(), 0);
  }

  @Test
  public void closedBodyGivesNoBytesButKeepsItsBuffers() {
    byte[] bytes = newBytes(100_000);
    HeldBody body = newBody(bytes.length);
    body.append(Unpooled.wrappedBuffer(bytes));
    ByteBuf buffer = body.newBuffer();
    body.close();
    body.close();
    assertEquals(ByteBufUtil.getBytes(buffer), bytes);
    assertTrue(buffer.release());
    assertFalse(body.append(Unpooled.wrappedBuffer(bytes)));
    assertEquals(body.copyBytes(0, 1), Optional.empty());
    assertThrows(IllegalStateException.class, body::newBuffer);
  }
}
