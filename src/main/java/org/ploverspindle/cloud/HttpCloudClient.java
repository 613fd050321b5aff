package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Resources;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.net.HttpClient;
import org.ploverspindle.net.HttpResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud over HTTP. A response that is malformed or unexpected counts as none. */
public final class HttpCloudClient implements CloudClient {
  private static final byte[] EMPTY = {};
  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_TOO_MANY_REQUESTS = 429;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final long TIMEOUT_MS = 5_000;
  private static final int PAGE = 500;

  private static final Logger LOG = LoggerFactory.getLogger(HttpCloudClient.class);

  private final HttpClient caller;

  /** Answers that were named in the log, once each. */
  private final Set<Integer> told = new HashSet<>();

  public HttpCloudClient(HttpClient caller) {
    this.caller = caller;
  }

  private static Optional<ObjectNode> ok(HttpResult reply) {
    return reply instanceof HttpResult.Response a && a.status() == HTTP_OK
        ? Cbor.readMap(a.body())
        : Optional.empty();
  }

  @Override
  public void listMachineTypes(Consumer<Optional<List<MachineType>>> then) {
    caller.send(
        "GET",
        "/flavors",
        EMPTY,
        TIMEOUT_MS,
        r -> then.accept(ok(r).flatMap(HttpCloudClient::readTypes)));
  }

  /** Empty when any type lacks what placing needs: half a catalogue would refuse good jobs. */
  static Optional<List<MachineType>> readTypes(ObjectNode body) {
    if (!body.path("flavours").isArray() || body.path("flavours").isEmpty()) {
      return Optional.empty();
    }
    List<MachineType> types = new ArrayList<>();
    for (JsonNode f : body.path("flavours")) {
      List<String> zones = new ArrayList<>();
      f.path("sites").forEach(z -> zones.add(z.asText()));
      if (!f.path("label").isTextual() || !f.path("cores").isNumber() || zones.isEmpty()) {
        return Optional.empty();
      }
      types.add(
          new MachineType(
              f.path("label").asText(),
              Resources.offered(
                  f.path("cores").asDouble(),
                  f.path("accelerators").asDouble(),
                  f.path("mem_gb").asDouble()),
              f.path("cache_gb").asDouble(),
              f.path("pull_gb_per_s").asDouble(1),
              f.path("price").asDouble(),
              f.path("market_price").asDouble(f.path("price").asDouble()),
              f.path("ready_s").asDouble(),
              List.copyOf(zones)));
    }
    return Optional.of(types);
  }

  @Override
  public void provision(
      String claim,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ProvisionResult> then) {
    ObjectNode body =
        Cbor.map()
            .put("claim", claim)
            .put("flavour", type)
            .put("site", zone)
            .put("loaners", spot)
            .put("how_many", count);
    caller.send("POST", "/rentals", Cbor.write(body), TIMEOUT_MS, r -> then.accept(rented(r)));
  }

  private ProvisionResult rented(HttpResult reply) {
    if (reply instanceof HttpResult.NotSent) {
      return new ProvisionResult.Refused();
    }
    if (!(reply instanceof HttpResult.Response answer)) {
      return new ProvisionResult.Unknown();
    }
    Optional<ObjectNode> body = Cbor.readMap(answer.body());
    if (answer.status() == HTTP_OK && body.isPresent() && body.get().path("hosts").isArray()) {
      List<String> hosts = new ArrayList<>();
      body.get().path("hosts").forEach(h -> hosts.add(h.asText()));
      return new ProvisionResult.Provisioned(hosts);
    }
    if (answer.status() == HTTP_UNAVAILABLE
        && body.map(b -> b.path("error").asText("")).orElse("").contains("capacity")) {
      return new ProvisionResult.NoCapacity();
    }
    return switch (answer.status()) {
      case HTTP_BAD_REQUEST -> new ProvisionResult.Malformed();
      case HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE -> new ProvisionResult.Refused();
      default -> {
        if (told.add(answer.status())) {
          LOG.warn(
              "a rental was answered {}, which no page names: it is asked for again",
              answer.status());
        }
        yield new ProvisionResult.Unknown();
      }
    };
  }

  @Override
  public void terminate(List<String> hosts, Consumer<Boolean> then) {
    ObjectNode body = Cbor.map();
    hosts.forEach(body.putArray("hosts")::add);
    caller.send(
        "POST",
        "/rentals/release",
        Cbor.write(body),
        TIMEOUT_MS,
        r -> then.accept(r instanceof HttpResult.Response a && a.status() == HTTP_OK));
  }

  @Override
  public void listMachines(String after, Consumer<Optional<HostPage>> then) {
    String path =
        "/rentals?page="
            + PAGE
            + (after.isEmpty() ? "" : "&after=" + URLEncoder.encode(after, StandardCharsets.UTF_8));
    caller.send(
        "GET", path, EMPTY, TIMEOUT_MS, r -> then.accept(ok(r).flatMap(HttpCloudClient::readPage)));
  }

  private static Optional<HostPage> readPage(ObjectNode body) {
    if (!body.path("hosts").isArray()) {
      return Optional.empty();
    }
    List<Host> hosts = new ArrayList<>();
    for (JsonNode h : body.path("hosts")) {
      HostStatus status =
          switch (h.path("status").asText()) {
            case "booting" -> HostStatus.BOOTING;
            case "failed" -> HostStatus.FAILED;
            default -> HostStatus.RUNNING;
          };
      hosts.add(
          new Host(
              h.path("uid").asText(),
              h.path("addr").asText(""),
              h.path("flavour").asText(),
              h.path("site").asText(),
              h.path("loaners").asBoolean(),
              status,
              h.path("age_s").asDouble()));
    }
    return Optional.of(new HostPage(hosts, body.path("has_next").asBoolean()));
  }
}
