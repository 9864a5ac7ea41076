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

  private final PlatformClient client;

  /**
   * Creates a client.
   *
   * @param caller sends HTTP requests, not null
   * @param address the address of the service, not null
   * @param timeout the longest wait for a response, not null
   */
  public HttpInstanceList(HttpCaller caller, InetSocketAddress address, Duration timeout) {
    client = new PlatformClient(caller, address, timeout);
  }

  @Override
  public CompletableFuture<List<InstanceRecord>> read() {
    return client
        .sendJson("read-instances", HttpMethod.GET, "/instances", "")
        .thenApply(HttpInstanceList::decodeRecords);
  }

  private static List<InstanceRecord> decodeRecords(JsonNode response) {
    List<InstanceRecord> records = new ArrayList<>();
    for (JsonNode instance : response.path("instances")) {
      records.add(InstanceCodec.fromJson(instance));
    }
    return records;
  }
}
