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

/**
 * A client for the HTTP protocol of the state service. A malformed or unexpected response is
 * handled like a missing one.
 */
public final class HttpStateStore implements StateStore {
  private static final byte[] EMPTY_BODY = {};

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** The status in {@link StateStore.TransactionResult.Refused} if the request was not sent. */
  private static final int NOT_SENT = 0;

  private static final long REQUEST_TIMEOUT_MS = 2_500;

  private static final Logger LOG = LoggerFactory.getLogger(HttpStateStore.class);

  private final HttpClient client;

  /** The unexpected HTTP statuses that were already logged; each status is logged only once. */
  private final Set<Integer> loggedStatuses = new HashSet<>();

  /** Creates a state store that sends all its requests through this client. */
  public HttpStateStore(HttpClient client) {
    this.client = client;
  }

  @Override
  public void commit(Transaction transaction, Consumer<TransactionResult> callback) {
    client.send(
        "POST",
        "/txn",
        Cbor.write(encode(transaction)),
        REQUEST_TIMEOUT_MS,
        result -> callback.accept(transactionResult(result)));
  }

  /** Returns the body of the request that executes this transaction. */
  public static ObjectNode encode(Transaction transaction) {
    ObjectNode body = Cbor.map();
    ArrayNode conditions = body.putArray("if");
    for (Condition condition : transaction.conditions()) {
      conditions.addObject().put("path", condition.key()).put("stamp", condition.modRevision());
    }
    ArrayNode changes = body.putArray("apply");
    for (Change change : transaction.changes()) {
      if (change instanceof Change.Put put) {
        ObjectNode putNode = changes.addObject().put("put", put.key());
        putNode.set("v", put.value());
        put.lease().ifPresent(lease -> putNode.put("hold", lease));
      } else {
        changes.addObject().put("remove", change.key());
      }
    }
    return body;
  }

  private TransactionResult transactionResult(HttpResult result) {
    if (result instanceof HttpResult.NotSent) {
      return new TransactionResult.Refused(NOT_SENT);
    }
    if (!(result instanceof HttpResult.Response response)) {
      return new TransactionResult.Unknown();
    }
    Optional<ObjectNode> body = Cbor.readMap(response.body());
    switch (response.status()) {
      case OK:
        return body.filter(map -> map.path("ledger").canConvertToLong())
            .<TransactionResult>map(
                map -> new TransactionResult.Committed(map.path("ledger").asLong()))
            .orElse(new TransactionResult.Unknown());
      case CONFLICT:
        return conflict(body);
      case BAD_REQUEST:
        return body.map(map -> map.path("error").asText("")).orElse("").contains("lease")
            ? new TransactionResult.NoSuchLease()
            : new TransactionResult.Refused(BAD_REQUEST);
      case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE:
        return new TransactionResult.Refused(response.status());
      default:
        if (loggedStatuses.add(response.status())) {
          LOG.warn(
              "transaction answered with an unexpected status, outcome is read back: status={}",
              response.status());
        }
        return new TransactionResult.Unknown();
    }
  }

  private static TransactionResult conflict(Optional<ObjectNode> body) {
    List<String> failedKeys = new ArrayList<>();
    body.ifPresent(map -> map.path("failed").forEach(key -> failedKeys.add(key.asText())));
    return new TransactionResult.Conflict(failedKeys);
  }

  private static Optional<ObjectNode> successBody(HttpResult result) {
    return result instanceof HttpResult.Response response && response.status() == OK
        ? Cbor.readMap(response.body())
        : Optional.empty();
  }

  private static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  @Override
  public void readPage(String prefix, String after, int pageSize, Consumer<PageResult> callback) {
    String path =
        "/kv?starts="
            + urlEncode(prefix)
            + (after.isEmpty() ? "" : "&after=" + urlEncode(after))
            + "&page="
            + pageSize;
    client.send(
        "GET", path, EMPTY_BODY, REQUEST_TIMEOUT_MS, result -> callback.accept(pageResult(result)));
  }

  private static PageResult pageResult(HttpResult result) {
    Optional<ObjectNode> body = successBody(result);
    if (body.isEmpty() || !body.get().path("entries").isArray()) {
      return new PageResult.Failed();
    }
    List<Entry> entries = new ArrayList<>();
    for (JsonNode entry : body.get().path("entries")) {
      entries.add(
          new Entry(entry.path("path").asText(), entry.path("v"), entry.path("stamp").asLong()));
    }
    return new PageResult.Page(
        entries, body.get().path("has_next").asBoolean(), body.get().path("ledger").asLong());
  }

  @Override
  public void readChanges(String prefix, long revision, Consumer<ChangesResult> callback) {
    String path = "/follow?starts=" + urlEncode(prefix) + "&after=" + revision + "&wait_ms=0";
    client.send(
        "GET",
        path,
        EMPTY_BODY,
        REQUEST_TIMEOUT_MS,
        result -> callback.accept(changesResult(result)));
  }

  private static ChangesResult changesResult(HttpResult result) {
    // The state service limits the size of pages, but not of changes. After a long outage of a busy
    // state service the changes can exceed the largest response that the client accepts. The same
    // request would fail again, so the caller must read all keys in pages instead.
    boolean tooLarge = result instanceof HttpResult.TooLarge;
    if (tooLarge || result instanceof HttpResult.Response response && response.status() == GONE) {
      return new ChangesResult.TooOld();
    }
    Optional<ObjectNode> body = successBody(result);
    if (body.isEmpty() || !body.get().path("ledger").canConvertToLong()) {
      return new ChangesResult.Failed();
    }
    List<ChangedEntry> changes = new ArrayList<>();
    for (JsonNode change : body.get().path("news")) {
      boolean isPut = change.has("put");
      changes.add(
          new ChangedEntry(
              change.path(isPut ? "put" : "remove").asText(),
              isPut ? Optional.of(change.path("v")) : Optional.empty(),
              change.path("stamp").asLong()));
    }
    return new ChangesResult.Changes(body.get().path("ledger").asLong(), changes);
  }

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> callback) {
    client.send(
        "POST",
        "/holds",
        Cbor.write(Cbor.map().put("ttl_ms", ttlMs)),
        REQUEST_TIMEOUT_MS,
        result ->
            callback.accept(
                successBody(result)
                    .map(body -> body.path("hold"))
                    .filter(JsonNode::canConvertToLong)
                    .map(JsonNode::asLong)));
  }

  @Override
  public void renewLease(long lease, Consumer<Renewal> callback) {
    client.send(
        "POST",
        "/holds/" + lease + "/extend",
        EMPTY_BODY,
        REQUEST_TIMEOUT_MS,
        result -> callback.accept(renewal(result)));
  }

  private static Renewal renewal(HttpResult result) {
    int status = result instanceof HttpResult.Response response ? response.status() : NOT_SENT;
    return switch (status) {
      case OK -> Renewal.RENEWED;
      case NOT_FOUND -> Renewal.GONE;
      default -> Renewal.FAILED;
    };
  }

  @Override
  public void closeLease(long lease) {
    client.send("DELETE", "/holds/" + lease, EMPTY_BODY, REQUEST_TIMEOUT_MS, result -> {});
  }
}
