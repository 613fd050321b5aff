package org.ploverspindle.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.Optional;

/** Reads and writes CBOR bodies as Jackson trees. */
public final class Cbor {
  private static final ObjectMapper MAPPER = new ObjectMapper(new CBORFactory());

  private Cbor() {}

  /** Decodes a body that is a map. The result is empty if it is malformed, truncated or no map. */
  public static Optional<ObjectNode> readMap(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      return node instanceof ObjectNode map ? Optional.of(map) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Encodes the tree as a CBOR body. */
  public static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("JSON tree could not be encoded as CBOR", e);
    }
  }

  /** Creates an empty map. */
  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  /**
   * Returns the length of the tree as JSON text, in characters. It stands for the size in JSON form
   * in which the limits of the state service are counted, and is an upper bound of that size while
   * the text is ASCII.
   */
  public static int jsonSize(JsonNode node) {
    return node.toString().length();
  }
}
