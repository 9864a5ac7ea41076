/** Network addresses as other systems write them. */
package io.fireflyshed.state.address;
