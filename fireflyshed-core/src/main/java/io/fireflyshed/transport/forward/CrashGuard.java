package io.fireflyshed.transport.forward;

import io.fireflyshed.coordination.poison.RequestFingerprints;
import io.fireflyshed.state.target.Target;
import java.time.Duration;
import java.util.Optional;
import reactor.core.publisher.Mono;

/**
 * Decides which requests are no longer sent to targets because they, or a part of their prompts,
 * crash them. Implementations are thread safe and don't block.
 */
public interface CrashGuard {

  /**
   * Gets the time for which a request is refused.
   *
   * @param request the fingerprints of the request, not null
   * @return the time, empty if the request may be sent to a target, never null
   */
  Optional<Duration> getRefusal(RequestFingerprints request);

  /**
   * Requests the permission to send a refused request as a trial. At most one request of all
   * entries gets it at a time, and only a few times for each refusal.
   *
   * @param request the fingerprints of the request, not null
   * @return the permission, which may not be usable, after a few calls to the table service at
   *     most; it emits one element and doesn't fail; never null
   */
  default Mono<CrashTrial> requestTrial(RequestFingerprints request) {
    return Mono.just(CrashTrial.none());
  }

  /**
   * Records that the connection to a target was lost before the first part of a response, as when
   * the target crashes.
   *
   * @param request the fingerprints of the request, not null
   * @param target the target, not null
   */
  void onInterrupted(RequestFingerprints request, Target target);

  /**
   * Records that an attempt got the first part of its response, so that the request did not crash
   * the target.
   *
   * @param request the fingerprints of the request, not null
   */
  void onSuccess(RequestFingerprints request);
}
