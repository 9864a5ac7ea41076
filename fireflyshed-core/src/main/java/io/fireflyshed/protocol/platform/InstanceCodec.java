package io.fireflyshed.protocol.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.instance.FabricDomain;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.ServiceName;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Converts instance records to JSON and back. */
public final class InstanceCodec {

  private InstanceCodec() {}

  /**
   * Converts a record to JSON.
   *
   * @param instance the record, not null
   * @return a JSON object, never null
   */
  public static ObjectNode toJson(InstanceRecord instance) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("id", instance.id().value());
    node.put("host", instance.address().getHostString());
    node.put("port", instance.address().getPort());
    node.put("zone", instance.zone().value());
    node.put("domain", instance.domain().value());
    node.put("accelerators", instance.accelerators());
    node.put("leaving", instance.leaving());
    instance.plainService().ifPresent(service -> node.put("service", service.value()));
    return node;
  }

  /**
   * Converts JSON to a record.
   *
   * @param node a JSON object, not null
   * @return the record, never null
   * @throws IllegalArgumentException if a field is missing or malformed
   */
  public static InstanceRecord fromJson(JsonNode node) {
    return new InstanceRecord(
        new InstanceId(node.path("id").asText()),
        InetSocketAddress.createUnresolved(node.path("host").asText(), node.path("port").asInt()),
        new AvailabilityZone(node.path("zone").asText()),
        new FabricDomain(node.path("domain").asText()),
        node.path("accelerators").asInt(),
        node.path("leaving").asBoolean(),
        node.hasNonNull("service")
            ? Optional.of(new ServiceName(node.get("service").asText()))
            : Optional.empty());
  }
}
