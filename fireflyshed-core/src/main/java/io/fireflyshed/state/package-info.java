/**
 * The state layer: data types and the interfaces of external systems. It imports no other layer.
 */
package io.fireflyshed.state;
