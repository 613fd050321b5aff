package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.net.HttpClient;
import org.ploverspindle.net.HttpResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service's own protocol. Broken or unexpected answers count as none. */
public final class HttpStateStore implements StateStore {
  private static final byte[] EMPTY = {};
  private static final long TIMEOUT_MS = 2_500;

  private static final Logger LOG = LoggerFactory.getLogger(HttpStateStore.class);

  private final HttpClient caller;

  /** Answers that were named in the log, once each. */
  private final Set<Integer> told = new HashSet<>();

  public HttpStateStore(HttpClient caller) {
    this.caller = caller;
  }

  @Override
  public void commit(Transaction txn, Consumer<TransactionResult> then) {
    caller.send(
        "POST", "/txn", Cbor.write(encode(txn)), TIMEOUT_MS, r -> then.accept(txnResult(r)));
  }

  public static ObjectNode encode(Transaction txn) {
    ObjectNode body = Cbor.map();
    ArrayNode conditions = body.putArray("if");
    for (Condition c : txn.conditions()) {
      conditions.addObject().put("path", c.key()).put("stamp", c.modRevision());
    }
    ArrayNode apply = body.putArray("apply");
    for (Change change : txn.changes()) {
      if (change instanceof Change.Put put) {
        ObjectNode node = apply.addObject().put("put", put.key());
        node.set("v", put.value());
        put.lease().ifPresent(h -> node.put("hold", h));
      } else {
        apply.addObject().put("remove", change.key());
      }
    }
    return body;
  }

  private TransactionResult txnResult(HttpResult reply) {
    if (reply instanceof HttpResult.NotSent) {
      return new TransactionResult.Refused(0);
    }
    if (!(reply instanceof HttpResult.Response answer)) {
      return new TransactionResult.Unknown();
    }
    Optional<ObjectNode> body = Cbor.readMap(answer.body());
    switch (answer.status()) {
      case 200:
        return body.filter(b -> b.path("ledger").canConvertToLong())
            .<TransactionResult>map(b -> new TransactionResult.Committed(b.path("ledger").asLong()))
            .orElse(new TransactionResult.Unknown());
      case 409:
        List<String> failed = new ArrayList<>();
        body.ifPresent(b -> b.path("failed").forEach(f -> failed.add(f.asText())));
        return new TransactionResult.Conflict(failed);
      case 400:
        return body.map(b -> b.path("error").asText("")).orElse("").contains("lease")
            ? new TransactionResult.NoSuchLease()
            : new TransactionResult.Refused(400);
      case 429, 503:
        return new TransactionResult.Refused(answer.status());
      default:
        if (told.add(answer.status())) {
          LOG.warn(
              "a write was answered {}, which no page names: it is read back", answer.status());
        }
        return new TransactionResult.Unknown();
    }
  }

  private static Optional<ObjectNode> ok(HttpResult reply) {
    return reply instanceof HttpResult.Response a && a.status() == 200
        ? Cbor.readMap(a.body())
        : Optional.empty();
  }

  private static String escape(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    String path =
        "/kv?starts="
            + escape(prefix)
            + (after.isEmpty() ? "" : "&after=" + escape(after))
            + "&page="
            + size;
    caller.send("GET", path, EMPTY, TIMEOUT_MS, r -> then.accept(pageResult(r)));
  }

  private static PageResult pageResult(HttpResult reply) {
    Optional<ObjectNode> body = ok(reply);
    if (body.isEmpty() || !body.get().path("entries").isArray()) {
      return new PageResult.Failed();
    }
    List<Entry> entries = new ArrayList<>();
    for (JsonNode e : body.get().path("entries")) {
      entries.add(new Entry(e.path("path").asText(), e.path("v"), e.path("stamp").asLong()));
    }
    return new PageResult.Page(
        entries, body.get().path("has_next").asBoolean(), body.get().path("ledger").asLong());
  }

  @Override
  public void readChanges(String prefix, long revision, Consumer<ChangesResult> then) {
    String path = "/follow?starts=" + escape(prefix) + "&after=" + revision + "&wait_ms=0";
    caller.send("GET", path, EMPTY, TIMEOUT_MS, r -> then.accept(news(r)));
  }

  private static ChangesResult news(HttpResult reply) {
    // Changes have no size limit, pages have: after a long gap in a busy store the changes alone
    // may be more than is read, and would be so again each time.
    boolean overflow = reply instanceof HttpResult.TooLarge;
    if (overflow || reply instanceof HttpResult.Response a && a.status() == 410) {
      return new ChangesResult.TooOld();
    }
    Optional<ObjectNode> body = ok(reply);
    if (body.isEmpty() || !body.get().path("ledger").canConvertToLong()) {
      return new ChangesResult.Failed();
    }
    List<ChangedEntry> changes = new ArrayList<>();
    for (JsonNode n : body.get().path("news")) {
      boolean put = n.has("put");
      changes.add(
          new ChangedEntry(
              n.path(put ? "put" : "remove").asText(),
              put ? Optional.of(n.path("v")) : Optional.empty(),
              n.path("stamp").asLong()));
    }
    return new ChangesResult.Changes(body.get().path("ledger").asLong(), changes);
  }

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
    caller.send(
        "POST",
        "/holds",
        Cbor.write(Cbor.map().put("ttl_ms", ttlMs)),
        TIMEOUT_MS,
        r ->
            then.accept(
                ok(r)
                    .map(b -> b.path("hold"))
                    .filter(JsonNode::canConvertToLong)
                    .map(JsonNode::asLong)));
  }

  @Override
  public void renewLease(long lease, Consumer<Renewal> then) {
    caller.send(
        "POST",
        "/holds/" + lease + "/extend",
        EMPTY,
        TIMEOUT_MS,
        r -> {
          if (r instanceof HttpResult.Response a && a.status() == 200) {
            then.accept(Renewal.RENEWED);
          } else if (r instanceof HttpResult.Response a && a.status() == 404) {
            then.accept(Renewal.GONE);
          } else {
            then.accept(Renewal.FAILED);
          }
        });
  }

  @Override
  public void closeLease(long lease) {
    caller.send("DELETE", "/holds/" + lease, EMPTY, TIMEOUT_MS, r -> {});
  }
}
