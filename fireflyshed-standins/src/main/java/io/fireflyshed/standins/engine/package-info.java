/** Stand-ins for the model engines of instances, served over HTTP. */
package io.fireflyshed.standins.engine;
