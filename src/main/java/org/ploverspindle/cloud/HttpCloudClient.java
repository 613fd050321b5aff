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

/**
 * The client of the cloud's HTTP interface. A response that is malformed or has an unexpected
 * status is handled like a missing response.
 */
public final class HttpCloudClient implements CloudClient {
  private static final byte[] EMPTY_BODY = {};
  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_TOO_MANY_REQUESTS = 429;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final long REQUEST_TIMEOUT_MS = 5_000;
  private static final int MACHINES_PER_PAGE = 500;

  private static final Logger LOG = LoggerFactory.getLogger(HttpCloudClient.class);

  private final HttpClient client;

  /** Unexpected statuses that have been logged; each is logged only once. */
  private final Set<Integer> loggedStatuses = new HashSet<>();

  public HttpCloudClient(HttpClient client) {
    this.client = client;
  }

  private static boolean isOk(HttpResult result) {
    return result instanceof HttpResult.Response response && response.status() == HTTP_OK;
  }

  /** The body of a response of status 200; empty without such a response or a readable body. */
  private static Optional<ObjectNode> successBody(HttpResult result) {
    return result instanceof HttpResult.Response response && response.status() == HTTP_OK
        ? Cbor.readMap(response.body())
        : Optional.empty();
  }

  @Override
  public void listMachineTypes(Consumer<Optional<List<MachineType>>> callback) {
    client.send(
        "GET",
        "/flavors",
        EMPTY_BODY,
        REQUEST_TIMEOUT_MS,
        result -> callback.accept(successBody(result).flatMap(HttpCloudClient::readTypes)));
  }

  /**
   * Decodes the machine types. The result is empty if there are none, or if any of them lacks its
   * name, its number of cores or its zones: with an incomplete catalogue, valid jobs would be
   * rejected.
   */
  static Optional<List<MachineType>> readTypes(ObjectNode body) {
    if (!body.path("flavours").isArray() || body.path("flavours").isEmpty()) {
      return Optional.empty();
    }
    List<MachineType> types = new ArrayList<>();
    for (JsonNode node : body.path("flavours")) {
      List<String> zones = new ArrayList<>();
      node.path("sites").forEach(zone -> zones.add(zone.asText()));
      if (!node.path("label").isTextual() || !node.path("cores").isNumber() || zones.isEmpty()) {
        return Optional.empty();
      }
      types.add(readType(node, zones));
    }
    return Optional.of(types);
  }

  private static MachineType readType(JsonNode node, List<String> zones) {
    double onDemandPrice = node.path("price").asDouble();
    return new MachineType(
        node.path("label").asText(),
        Resources.offered(
            node.path("cores").asDouble(),
            node.path("accelerators").asDouble(),
            node.path("mem_gb").asDouble()),
        node.path("cache_gb").asDouble(),
        node.path("pull_gb_per_s").asDouble(1),
        onDemandPrice,
        node.path("market_price").asDouble(onDemandPrice),
        node.path("ready_s").asDouble(),
        List.copyOf(zones));
  }

  @Override
  public void provision(
      String intentName,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ProvisionResult> callback) {
    ObjectNode body =
        Cbor.map()
            .put("claim", intentName)
            .put("flavour", type)
            .put("site", zone)
            .put("loaners", spot)
            .put("how_many", count);
    client.send(
        "POST",
        "/rentals",
        Cbor.write(body),
        REQUEST_TIMEOUT_MS,
        result -> callback.accept(provisionResult(result)));
  }

  private ProvisionResult provisionResult(HttpResult result) {
    if (result instanceof HttpResult.NotSent) {
      return new ProvisionResult.Refused();
    }
    if (!(result instanceof HttpResult.Response response)) {
      return new ProvisionResult.Unknown();
    }
    Optional<ObjectNode> body = Cbor.readMap(response.body());
    if (response.status() == HTTP_OK && body.isPresent() && body.get().path("hosts").isArray()) {
      List<String> hosts = new ArrayList<>();
      body.get().path("hosts").forEach(host -> hosts.add(host.asText()));
      return new ProvisionResult.Provisioned(List.copyOf(hosts));
    }
    if (response.status() == HTTP_UNAVAILABLE
        && body.map(map -> map.path("error").asText("")).orElse("").contains("capacity")) {
      return new ProvisionResult.NoCapacity();
    }
    return resultOfFailure(response.status());
  }

  private ProvisionResult resultOfFailure(int status) {
    return switch (status) {
      case HTTP_BAD_REQUEST -> new ProvisionResult.Malformed();
      case HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE -> new ProvisionResult.Refused();
      default -> {
        if (loggedStatuses.add(status)) {
          LOG.warn("unexpected provisioning response, request is repeated: status={}", status);
        }
        yield new ProvisionResult.Unknown();
      }
    };
  }

  @Override
  public void terminate(List<String> hosts, Consumer<Boolean> callback) {
    ObjectNode body = Cbor.map();
    hosts.forEach(body.putArray("hosts")::add);
    client.send(
        "POST",
        "/rentals/release",
        Cbor.write(body),
        REQUEST_TIMEOUT_MS,
        result -> callback.accept(isOk(result)));
  }

  @Override
  public void listMachines(String after, Consumer<Optional<MachinePage>> callback) {
    String path =
        "/rentals?page="
            + MACHINES_PER_PAGE
            + (after.isEmpty() ? "" : "&after=" + URLEncoder.encode(after, StandardCharsets.UTF_8));
    client.send(
        "GET",
        path,
        EMPTY_BODY,
        REQUEST_TIMEOUT_MS,
        result -> callback.accept(successBody(result).flatMap(HttpCloudClient::readPage)));
  }

  private static Optional<MachinePage> readPage(ObjectNode body) {
    if (!body.path("hosts").isArray()) {
      return Optional.empty();
    }
    List<CloudMachine> machines = new ArrayList<>();
    body.path("hosts").forEach(node -> machines.add(readMachine(node)));
    return Optional.of(new MachinePage(machines, body.path("has_next").asBoolean()));
  }

  private static CloudMachine readMachine(JsonNode node) {
    MachineStatus status =
        switch (node.path("status").asText()) {
          case "booting" -> MachineStatus.BOOTING;
          case "failed" -> MachineStatus.FAILED;
          default -> MachineStatus.RUNNING;
        };
    return new CloudMachine(
        node.path("uid").asText(),
        node.path("addr").asText(""),
        node.path("flavour").asText(),
        node.path("site").asText(),
        node.path("loaners").asBoolean(),
        status,
        node.path("age_s").asDouble());
  }
}
