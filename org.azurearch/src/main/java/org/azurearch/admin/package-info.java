/** The administration API: its messages, a client and the commands that operators run. */
@NullMarked
package org.azurearch.admin;

import org.jspecify.annotations.NullMarked;
