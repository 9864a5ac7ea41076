/** Records of targets, their membership of replicas and what they report of themselves. */
package io.fireflyshed.state.target;
