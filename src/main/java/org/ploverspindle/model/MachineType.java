package org.ploverspindle.model;

import java.util.List;

/**
 * A machine type that the cloud rents out.
 *
 * @param size what a machine offers to tasks
 * @param cacheGb size of the machine's image cache, in GB
 * @param fetchGbPerS how fast a machine fetches an image, in GB per second
 * @param price price of an on-demand machine
 * @param spotPrice price of a spot machine
 * @param bootS expected boot time in seconds
 * @param zones the zones that the type is offered in
 */
public record MachineType(
    String name,
    Resources size,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {
  /** The price of a spot or an on-demand machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
