/** Instances, availability zones, fabric domains and the platform's list of instances. */
package io.fireflyshed.state.instance;
