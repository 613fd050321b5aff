package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.ploverspindle.net.Cbor;

/**
 * A list of dependencies that is too long for its job's record, in parts that each fit a value.
 *
 * <p>The name follows from the content: a repeat at any controller goes on where an earlier request
 * ended, two controllers that write one list write the same, and no part can come to stand that is
 * of another list.
 */
public record DependenciesRecord(String name, List<JsonNode> parts) {
  private static final String IDS = "ids";

  /** A part's braces, its field's name, and quotes. */
  private static final int FRAME_BYTES = 20;

  public static DependenciesRecord split(String uid, List<String> dependencies, int valueBytes) {
    List<JsonNode> parts = new ArrayList<>();
    StringBuilder ids = new StringBuilder();
    MessageDigest digest = sha256();
    for (String d : dependencies) {
      if (!ids.isEmpty() && ids.length() + 1 + d.length() > valueBytes - FRAME_BYTES) {
        parts.add(Cbor.map().put(IDS, ids.toString()));
        digest.update((byte) '\n');
        ids.setLength(0);
      }
      ids.append(ids.isEmpty() ? "" : ",").append(d);
      digest.update((d + ",").getBytes(StandardCharsets.US_ASCII));
    }
    parts.add(Cbor.map().put(IDS, ids.toString()));
    String hash = HexFormat.of().formatHex(digest.digest(), 0, 10);
    return new DependenciesRecord(uid + "-" + hash, List.copyOf(parts));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }

  public String key(int part) {
    return Keys.dependencies(name, part);
  }

  /** The whole list by the copy; empty while a part of it is missing. */
  public static Optional<List<String>> read(
      Replica replica, JobRecord.StoredDependencies.Separate where) {
    List<String> uids = new ArrayList<>();
    for (int i = 0; i < where.parts(); i++) {
      Optional<String> ids = replica.text(Keys.dependencies(where.name(), i), IDS);
      if (ids.isEmpty()) {
        return Optional.empty();
      }
      uids.addAll(List.of(ids.get().split(",")));
    }
    return Optional.of(uids);
  }
}
