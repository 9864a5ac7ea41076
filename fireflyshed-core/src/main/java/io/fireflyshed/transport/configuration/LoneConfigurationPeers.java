package io.fireflyshed.transport.configuration;

import io.fireflyshed.coordination.configuration.PeerAnswer;
import io.fireflyshed.state.configuration.ConfigurationRecord;
import io.fireflyshed.state.error.NoEffectException;
import io.fireflyshed.state.peer.PeerId;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The implementation for a process without peers. Thread safe. */
public final class LoneConfigurationPeers implements ConfigurationPeers {

  @Override
  public List<PeerId> getZonePeers() {
    return List.of();
  }

  @Override
  public List<PeerId> getRemotePeers() {
    return List.of();
  }

  @Override
  public CompletableFuture<PeerAnswer> ask(PeerId peer) {
    return newFailure("ask-configuration", peer);
  }

  @Override
  public CompletableFuture<String> fetchText(PeerId peer, ConfigurationRecord record) {
    return newFailure("fetch-configuration", peer);
  }

  @Override
  public void notifyInForce(long version) {
    // There are no peers to notify.
  }

  private static <T> CompletableFuture<T> newFailure(String step, PeerId peer) {
    return CompletableFuture.failedFuture(
        new NoEffectException(step, peer.value(), "this process has no peers", null));
  }
}
