package org.ploverspindle.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.Optional;

/** CBOR bodies as Jackson trees. */
public final class Cbor {
  private static final ObjectMapper MAPPER = new ObjectMapper(new CBORFactory());

  private Cbor() {}

  /** The body as a map; empty when it is broken, truncated or anything but a map. */
  public static Optional<ObjectNode> readMap(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      return node instanceof ObjectNode map ? Optional.of(map) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** The tree as a CBOR body. */
  public static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree could not be written as CBOR", e);
    }
  }

  /** A new, empty map. */
  public static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Upper bound of the size in JSON form, the one that limits are counted in. */
  public static int jsonSize(JsonNode node) {
    return node.toString().length();
  }
}
