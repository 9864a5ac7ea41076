package io.fireflyshed.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflyshed.protocol.platform.InstanceCodec;
import io.fireflyshed.state.instance.InstanceList;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.transport.http.HttpCaller;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads the platform's list of instances over HTTP. Thread safe. */
public final class HttpInstanceList implements InstanceList {

  private final PlatformCalls calls;

  /**
   * Creates a client.
   *
   * @param caller sends the requests, not null
   * @param address the address of the list, not null
   * @param timeout the longest wait for an answer, not null
   */
  public HttpInstanceList(HttpCaller caller, InetSocketAddress address, Duration timeout) {
    calls = new PlatformCalls(caller, address, timeout);
  }

  @Override
  public CompletableFuture<List<InstanceRecord>> read() {
    return calls
        .sendJson("read-instances", HttpMethod.GET, "/instances", "")
        .thenApply(HttpInstanceList::toRecords);
  }

  private static List<InstanceRecord> toRecords(JsonNode node) {
    List<InstanceRecord> records = new ArrayList<>();
    for (JsonNode instance : node.path("instances")) {
      records.add(InstanceCodec.fromJson(instance));
    }
    return records;
  }
}
