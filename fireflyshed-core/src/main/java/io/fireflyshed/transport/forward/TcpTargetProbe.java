package io.fireflyshed.transport.forward;

import io.fireflyshed.state.target.Target;
import io.netty.channel.ChannelOption;
import java.net.ConnectException;
import java.time.Duration;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.tcp.TcpClient;

/** Tests with a TCP connection whether targets can be reached. Thread safe. */
public final class TcpTargetProbe implements TargetProbe {

  /** The longest wait for a connection; a round trip takes a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** The time in which a connection that is accepted on the way and then reset is closed. */
  private static final Duration SETTLE_TIME = Duration.ofMillis(50);

  private final TcpClient client =
      TcpClient.newConnection()
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  private final Duration settleTime;

  /** Creates a probe. */
  public TcpTargetProbe() {
    this(SETTLE_TIME);
  }

  /** Creates a probe whose connections must stay open for a given time. */
  TcpTargetProbe(Duration settleTime) {
    this.settleTime = settleTime;
  }

  @Override
  public Mono<Void> connect(Target target) {
    return client
        .host(target.address().getHostString())
        .port(target.address().getPort())
        .connect()
        .flatMap(connection -> settle(target, connection));
  }

  /** Waits until a connection has been open for a moment, and closes it. */
  private Mono<Void> settle(Target target, Connection connection) {
    // Only a channel that reads learns on every transport that its peer closed or reset it.
    Mono<Void> closed =
        connection
            .inbound()
            .receive()
            .then(Mono.error(() -> new ConnectException(target.id() + " closed the connection")));
    return Mono.firstWithSignal(closed, Mono.delay(settleTime).then())
        .doFinally(signal -> connection.dispose());
  }
}
