package io.fireflyshed.protocol.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.ArrayList;
import java.util.List;

/** Converts assignments to the texts of table rows and back. */
public final class AssignmentCodec {

  private AssignmentCodec() {}

  /**
   * Converts an assignment to a text.
   *
   * @param assignment the assignment, not null
   * @return a JSON text, never null
   */
  public static String toText(Assignment assignment) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("id", assignment.id().value());
    node.put("service", assignment.service().value());
    node.put("generation", assignment.generation());
    ArrayNode members = node.putArray("members");
    assignment.members().forEach(m -> members.add(InstanceCodec.toJson(m)));
    return JsonUtils.toText(node);
  }

  /**
   * Converts a text to an assignment.
   *
   * @param text a JSON text, not null
   * @return the assignment, never null
   * @throws IllegalArgumentException if the text is malformed
   */
  public static Assignment fromText(String text) {
    JsonNode node = JsonUtils.parse(text);
    List<InstanceRecord> members = new ArrayList<>();
    node.path("members").forEach(m -> members.add(InstanceCodec.fromJson(m)));
    return new Assignment(
        new ReplicaId(node.path("id").asText()),
        new ServiceName(node.path("service").asText()),
        node.path("generation").asLong(),
        members);
  }
}
