package io.fireflyshed.protocol.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflyshed.coordination.assignment.AssignmentPhase;
import io.fireflyshed.coordination.assignment.StoredAssignment;
import io.fireflyshed.protocol.json.JsonUtils;
import io.fireflyshed.state.instance.InstanceRecord;
import io.fireflyshed.state.replica.Assignment;
import io.fireflyshed.state.replica.ReplicaId;
import io.fireflyshed.state.replica.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts assignments to the texts of table rows and back. */
public final class AssignmentCodec {

  private AssignmentCodec() {}

  /**
   * Converts a stored assignment to a text.
   *
   * @param stored the stored assignment, not null
   * @return a JSON text, never null
   */
  public static String toText(StoredAssignment stored) {
    ObjectNode node = toNode(stored.assignment());
    node.put("model", stored.model());
    node.put("phase", stored.phase().name());
    stored.nextModel().ifPresent(model -> node.put("nextModel", model));
    return JsonUtils.toText(node);
  }

  /**
   * Converts a text to a stored assignment.
   *
   * @param text a JSON text, not null
   * @return the stored assignment, never null
   * @throws IllegalArgumentException if the text is malformed
   */
  public static StoredAssignment fromStoredText(String text) {
    JsonNode node = JsonUtils.parse(text);
    return new StoredAssignment(
        toAssignment(node),
        node.path("model").asText(),
        AssignmentPhase.valueOf(node.path("phase").asText()),
        Optional.ofNullable(node.path("nextModel").textValue()));
  }

  private static ObjectNode toNode(Assignment assignment) {
    ObjectNode node = JsonUtils.getMapper().createObjectNode();
    node.put("id", assignment.id().value());
    node.put("service", assignment.service().value());
    node.put("generation", assignment.generation());
    ArrayNode members = node.putArray("members");
    assignment.members().forEach(member -> members.add(InstanceCodec.toJson(member)));
    return node;
  }

  private static Assignment toAssignment(JsonNode node) {
    List<InstanceRecord> members = new ArrayList<>();
    node.path("members").forEach(member -> members.add(InstanceCodec.fromJson(member)));
    return new Assignment(
        new ReplicaId(node.path("id").asText()),
        new ServiceName(node.path("service").asText()),
        node.path("generation").asLong(),
        members);
  }
}
