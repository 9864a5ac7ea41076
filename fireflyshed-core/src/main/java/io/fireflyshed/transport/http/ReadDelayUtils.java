package io.fireflyshed.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds out for how long received bytes waited until this process read them. */
public final class ReadDelayUtils {

  /** What waits for less is taken for read at once, since loaded processes read that late, too. */
  public static final Duration MIN_DELAY = Duration.ofMillis(50);

  private static final Logger LOG = LoggerFactory.getLogger(ReadDelayUtils.class);

  private ReadDelayUtils() {}

  /**
   * Gets the time since the system received the last bytes of a connection.
   *
   * @param channel the connection, whose bytes were just read, not null
   * @return the time; zero if it is less than {@link #MIN_DELAY} or not known, as for transports
   *     other than epoll; never null
   */
  public static Duration getReadDelay(Channel channel) {
    if (!(channel instanceof EpollSocketChannel socket)) {
      return Duration.ZERO;
    }
    try {
      Duration delay = Duration.ofMillis(socket.tcpInfo().lastDataRecv());
      return delay.compareTo(MIN_DELAY) < 0 ? Duration.ZERO : delay;
    } catch (ChannelException e) {
      LOG.warn("the read delay of {} is not known: {}", channel.remoteAddress(), e.getMessage());
      return Duration.ZERO;
    }
  }
}
