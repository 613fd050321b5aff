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
 * A list of dependencies that is too long for the record of its job. It is stored in parts that
 * each fit into one value.
 *
 * <p>The name of the list is derived from its content, so that writing the list is idempotent: a
 * retry at any controller continues where an earlier request stopped, two controllers that write
 * the same list write the same keys and values, and parts of different lists are never mixed.
 *
 * @param name the name of the list, unique among the lists of all jobs
 * @param parts the stored values of the parts, in the order of the list
 */
public record DependenciesRecord(String name, List<JsonNode> parts) {
  private static final String IDS = "ids";

  /** Upper bound of the bytes that the braces, field name and quotes of a part take. */
  private static final int PART_OVERHEAD_BYTES = 20;

  /** The number of bytes of the list's SHA-256 digest that its name contains. */
  private static final int DIGEST_BYTES = 10;

  /** Splits the dependencies of a job into parts of at most {@code maxValueBytes} bytes each. */
  public static DependenciesRecord split(
      String jobUid, List<String> dependencies, int maxValueBytes) {
    List<JsonNode> parts = new ArrayList<>();
    StringBuilder ids = new StringBuilder();
    MessageDigest digest = sha256();
    for (String uid : dependencies) {
      if (!ids.isEmpty() && ids.length() + 1 + uid.length() > maxValueBytes - PART_OVERHEAD_BYTES) {
        parts.add(Cbor.map().put(IDS, ids.toString()));
        digest.update((byte) '\n');
        ids.setLength(0);
      }
      ids.append(ids.isEmpty() ? "" : ",").append(uid);
      digest.update((uid + ",").getBytes(StandardCharsets.US_ASCII));
    }
    parts.add(Cbor.map().put(IDS, ids.toString()));
    String hash = HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
    return new DependenciesRecord(jobUid + "-" + hash, List.copyOf(parts));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must provide it", e);
    }
  }

  /** Returns the key of the part with this index. */
  public String key(int part) {
    return Keys.dependencies(name, part);
  }

  /** Reads the whole list from the replica; empty if a part is missing. */
  public static Optional<List<String>> read(
      Replica replica, JobRecord.StoredDependencies.Separate stored) {
    List<String> uids = new ArrayList<>();
    for (int i = 0; i < stored.parts(); i++) {
      Optional<String> ids = replica.text(Keys.dependencies(stored.name(), i), IDS);
      if (ids.isEmpty()) {
        return Optional.empty();
      }
      uids.addAll(List.of(ids.get().split(",")));
    }
    return Optional.of(uids);
  }
}
