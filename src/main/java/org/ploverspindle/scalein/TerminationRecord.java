package org.ploverspindle.scalein;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ploverspindle.net.Cbor;

/**
 * The stored form of a termination.
 *
 * @param hosts the names of the machines that are terminated together
 */
record TerminationRecord(List<String> hosts) {
  private static final String HOSTS = "hosts";

  JsonNode encode() {
    ObjectNode value = Cbor.map();
    ArrayNode names = value.putArray(HOSTS);
    hosts.forEach(names::add);
    return value;
  }

  /**
   * Decodes a record's value. The result is empty if any part of the value cannot be read: it would
   * be a guess that the readable names alone are to be terminated.
   */
  static Optional<TerminationRecord> decode(JsonNode value) {
    JsonNode names = value.path(HOSTS);
    if (!names.isArray() || names.isEmpty()) {
      return Optional.empty();
    }
    List<String> hosts = new ArrayList<>();
    for (JsonNode name : names) {
      if (!name.isTextual() || name.asText().isEmpty()) {
        return Optional.empty();
      }
      hosts.add(name.asText());
    }
    return Optional.of(new TerminationRecord(List.copyOf(hosts)));
  }

  /**
   * Divides the machines, in their order, into records that each fit into one value of the state
   * service and into one request to the cloud.
   *
   * @param maxValueBytes the state service's limit for the size of a value in JSON form
   */
  static List<TerminationRecord> partition(List<String> hosts, int maxValueBytes) {
    int emptyBytes = Cbor.jsonSize(new TerminationRecord(List.of()).encode());
    List<TerminationRecord> records = new ArrayList<>();
    List<String> recordHosts = new ArrayList<>();
    int recordBytes = emptyBytes;
    for (String host : hosts) {
      // The size of the quoted name, and 1 byte for a comma.
      int hostBytes = Cbor.jsonSize(Cbor.map().textNode(host)) + 1;
      boolean isFull =
          recordHosts.size() == TerminationClient.MAX_MACHINES_PER_REQUEST
              || recordBytes + hostBytes > maxValueBytes;
      if (isFull && !recordHosts.isEmpty()) {
        records.add(new TerminationRecord(List.copyOf(recordHosts)));
        recordHosts.clear();
        recordBytes = emptyBytes;
      }
      recordHosts.add(host);
      recordBytes += hostBytes;
    }
    if (!recordHosts.isEmpty()) {
      records.add(new TerminationRecord(List.copyOf(recordHosts)));
    }
    return records;
  }
}
