package io.fireflyshed.bench.repair;

/**
 * Describes one availability zone of a simulation.
 *
 * @param domains the number of fabric domains, positive
 * @param replicasPerDomain the replicas wanted in each domain, positive
 * @param instancesPerReplica the instances of each replica, positive
 * @param accelerators the accelerators of each instance, positive
 * @param spares the spare instances held in each domain, fewer than a replica has
 */
public record ZoneShape(
    int domains, int replicasPerDomain, int instancesPerReplica, int accelerators, int spares) {

  /** Checks the parts of the record. */
  public ZoneShape {
    if (domains < 1 || replicasPerDomain < 1 || instancesPerReplica < 1 || accelerators < 1) {
      throw new IllegalArgumentException("sizes must be positive");
    }
    if (spares < 0 || spares >= instancesPerReplica) {
      throw new IllegalArgumentException("spares must be fewer than a replica has: " + spares);
    }
  }

  /**
   * Gets the same shape with another number of spares.
   *
   * @param count the spares of each domain
   * @return the shape, never null
   */
  public ZoneShape withSpares(int count) {
    return new ZoneShape(domains, replicasPerDomain, instancesPerReplica, accelerators, count);
  }

  /**
   * Gets the instances held in each domain.
   *
   * @return the number, positive
   */
  public int getInstancesPerDomain() {
    return replicasPerDomain * instancesPerReplica + spares;
  }

  /**
   * Gets the replicas of the zone.
   *
   * @return the number, positive
   */
  public int getReplicas() {
    return domains * replicasPerDomain;
  }
}
