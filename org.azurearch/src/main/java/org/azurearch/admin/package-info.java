/** The administration API: its JSON messages, a client, and the commands for operators. */
@NullMarked
package org.azurearch.admin;

import org.jspecify.annotations.NullMarked;
