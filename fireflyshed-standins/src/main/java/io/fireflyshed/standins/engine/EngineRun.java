package io.fireflyshed.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.completion.CompletionKind;
import io.fireflyshed.protocol.completion.CompletionRequest;
import io.fireflyshed.protocol.completion.SseEvent;
import io.fireflyshed.protocol.json.JsonUtils;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import reactor.core.publisher.FluxSink;

/**
 * Generates the response to one attempt, one token per step. Not thread safe; guarded by the lock
 * of its engine.
 */
final class EngineRun {

  private static final String[] WORDS = {
    "amber", "ash", "base", "blend", "bright", "card", "cool", "copper", "deep", "fine", "gold",
    "mix", "note", "rest", "rinse", "shade", "tone", "warm"
  };

  private final String attempt;
  private final String requestId;
  private final CompletionRequest request;
  private final int priority;
  private final FluxSink<String> sink;
  private long nextOffset;
  private int prefillTokens;

  EngineRun(
      String attempt,
      String requestId,
      CompletionRequest request,
      long offset,
      FluxSink<String> sink) {
    this.attempt = attempt;
    this.requestId = requestId;
    this.request = request;
    this.priority = request.body().path("priority").asInt(0);
    this.nextOffset = offset;
    this.sink = sink;
  }

  String getAttempt() {
    return attempt;
  }

  String getPrompt() {
    return request.prompt();
  }

  int getPriority() {
    return priority;
  }

  long getNextOffset() {
    return nextOffset;
  }

  boolean isCancelled() {
    return sink.isCancelled();
  }

  void setPrefillTokens(int tokens) {
    prefillTokens = tokens;
  }

  /** Generates the token at an offset, which depends only on the prompt and the offset. */
  static String generateToken(String prompt, long offset) {
    int hash = MurmurHash3.hash32x86((prompt + offset).getBytes(StandardCharsets.UTF_8));
    return " " + WORDS[Math.floorMod(hash, WORDS.length)];
  }

  /**
   * Performs one step: processes a part of the prompt or, after the whole prompt, sends the next
   * token or the end of the stream if the connection can accept it.
   *
   * @return true if the response is complete
   */
  boolean step(int prefillTokensPerStep) {
    if (prefillTokens > 0) {
      prefillTokens -= prefillTokensPerStep;
      return false;
    }
    if (sink.requestedFromDownstream() == 0) {
      return false;
    }
    if (nextOffset >= request.maxTokens()) {
      sink.next("data: " + SseEvent.DONE + "\n\n");
      sink.complete();
      return true;
    }
    sink.next("id: " + nextOffset + "\ndata: " + newChunk() + "\n\n");
    nextOffset++;
    return false;
  }

  /** Ends the stream with an error, as a crash of the engine would. */
  void abort() {
    sink.error(new IllegalStateException("the engine aborted the stream"));
  }

  private String newChunk() {
    boolean isLast = nextOffset + 1 == request.maxTokens();
    String token = generateToken(request.prompt(), nextOffset);
    ObjectNode chunk = JsonUtils.getMapper().createObjectNode();
    boolean isChat = request.kind() == CompletionKind.CHAT;
    chunk.put("id", requestId);
    chunk.put("object", isChat ? "chat.completion.chunk" : "text_completion");
    chunk.put("model", request.model().value());
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    if (isChat) {
      choice.putObject("delta").put("content", token);
    } else {
      choice.put("text", token);
    }
    choice.put("finish_reason", isLast ? "length" : null);
    return JsonUtils.toText(chunk);
  }
}
