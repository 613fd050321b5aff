package org.ploverspindle.model;

import java.util.List;

/** A machine type that the cloud rents out. */
public record MachineType(
    String name,
    Resources size,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
