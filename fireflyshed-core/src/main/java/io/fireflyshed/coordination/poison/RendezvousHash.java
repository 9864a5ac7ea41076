package io.fireflyshed.coordination.poison;

import io.fireflyshed.state.replica.ReplicaId;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Computes the scores of replicas for rendezvous hashing. */
final class RendezvousHash {

  private RendezvousHash() {}

  /** Returns the score of a replica for a fingerprint, an unsigned number. */
  static long score(String fingerprint, ReplicaId replica) {
    byte[] bytes = (fingerprint + "/" + replica).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
