package org.ploverspindle.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Machine types and zones under dense indices. An index, once given, keeps its name for the life of
 * the process; types that the cloud no longer names stay known, as machines of them may run on.
 */
public final class Catalogue {
  private final List<MachineType> types = new ArrayList<>();
  private final Map<String, Integer> typeIndex = new HashMap<>();
  private final List<String> zones = new ArrayList<>();
  private final Map<String, Integer> zoneIndex = new HashMap<>();

  public Catalogue(List<String> zonesInOrder) {
    zonesInOrder.forEach(this::zone);
  }

  /** Takes in the types that the cloud names now. */
  public void update(List<MachineType> latest) {
    for (MachineType type : latest) {
      type.zones().forEach(this::zone);
      Integer known = typeIndex.get(type.name());
      if (known == null) {
        typeIndex.put(type.name(), types.size());
        types.add(type);
      } else {
        types.set(known, type);
      }
    }
  }

  /** False until the machine types are known; before that nobody can say what fits. */
  public boolean isKnown() {
    return !types.isEmpty();
  }

  public List<MachineType> types() {
    return types;
  }

  public MachineType type(int index) {
    return types.get(index);
  }

  public Optional<Integer> typeIndex(String name) {
    return Optional.ofNullable(typeIndex.get(name));
  }

  /** The index of the zone, which gets one if it has none. */
  public int zone(String name) {
    return zoneIndex.computeIfAbsent(
        name,
        n -> {
          zones.add(n);
          return zones.size() - 1;
        });
  }

  public Optional<Integer> zoneIndex(String name) {
    return Optional.ofNullable(zoneIndex.get(name));
  }

  public String zoneName(int index) {
    return zones.get(index);
  }

  public int zoneCount() {
    return zones.size();
  }
}
